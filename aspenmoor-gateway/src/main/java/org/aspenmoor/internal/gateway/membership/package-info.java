/** What an entry follows in the store: the configuration, the backend servers, the other entries. */
package org.aspenmoor.internal.gateway.membership;
