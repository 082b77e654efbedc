/**
 * Interfaces through which an entry reads and writes the protocols of callers and backend servers; adapters implement
 * them.
 */
package org.aspenmoor.internal.gateway.protocol;
