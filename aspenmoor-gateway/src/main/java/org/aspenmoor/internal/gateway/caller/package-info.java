/** Connections of callers: receiving requests and sending answers. */
package org.aspenmoor.internal.gateway.caller;
