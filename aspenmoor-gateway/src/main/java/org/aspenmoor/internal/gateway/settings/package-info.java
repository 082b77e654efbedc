/** The settings of an entry that serves callers itself. */
package org.aspenmoor.internal.gateway.settings;
