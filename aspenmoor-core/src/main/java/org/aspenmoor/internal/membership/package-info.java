/**
 * Determines which backend servers may receive new work, from the host list, the agents' announcements and the
 * connections.
 */
package org.aspenmoor.internal.membership;
