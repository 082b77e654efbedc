/** Connections of callers. */
package org.aspenmoor.internal.gateway.caller;
