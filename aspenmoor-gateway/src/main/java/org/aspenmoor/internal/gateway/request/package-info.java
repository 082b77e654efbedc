/** Serves callers' requests: placement, attempts at backend servers, repeats, streams and traces. */
package org.aspenmoor.internal.gateway.request;
