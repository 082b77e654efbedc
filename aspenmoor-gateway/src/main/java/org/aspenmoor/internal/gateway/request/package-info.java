/** Serves callers' requests: placement, attempts at backend servers, retries, streams and traces. */
package org.aspenmoor.internal.gateway.request;
