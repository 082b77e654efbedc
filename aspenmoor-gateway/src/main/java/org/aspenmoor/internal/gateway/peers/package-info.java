/** How entries discover each other and report which requests they have scheduled on which servers. */
package org.aspenmoor.internal.gateway.peers;
