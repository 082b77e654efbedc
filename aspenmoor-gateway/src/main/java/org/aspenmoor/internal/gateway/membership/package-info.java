/** Listeners for what an entry follows in the store: the configuration and the backend servers. */
package org.aspenmoor.internal.gateway.membership;
