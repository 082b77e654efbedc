/** How entries find each other and tell each other what they have placed where. */
package org.aspenmoor.internal.gateway.peers;
