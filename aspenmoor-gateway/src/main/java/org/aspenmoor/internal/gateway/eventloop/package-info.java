/** Measures how late the event loop is, and bounds what that delays. */
package org.aspenmoor.internal.gateway.eventloop;
