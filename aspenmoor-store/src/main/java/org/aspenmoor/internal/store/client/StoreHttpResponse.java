package org.aspenmoor.internal.store.client;

import java.time.Duration;

/**
 * An HTTP response of the store.
 *
 * @param status the HTTP status
 * @param body the complete body
 * @param retryAfter the wait that the store requests before a retry; zero if it requests none
 * @param generation the generation of the store's history that the response belongs to
 */
record StoreHttpResponse(int status, String body, Duration retryAfter, long generation) {}
