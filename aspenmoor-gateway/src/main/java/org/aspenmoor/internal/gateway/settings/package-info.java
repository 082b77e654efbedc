/** The settings of an entry that forwards requests directly to backend servers, and their reloading. */
package org.aspenmoor.internal.gateway.settings;
