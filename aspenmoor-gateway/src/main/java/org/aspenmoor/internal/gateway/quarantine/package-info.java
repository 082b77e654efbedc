/**
 * Shares knowledge of requests that terminate servers: between entries, and in the store for entries that start
 * later.
 */
package org.aspenmoor.internal.gateway.quarantine;
