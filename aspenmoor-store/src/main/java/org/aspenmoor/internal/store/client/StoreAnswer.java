package org.aspenmoor.internal.store.client;

import java.time.Duration;

/**
 * An answer of the store.
 *
 * @param status the HTTP status
 * @param body the whole body
 * @param retryAfter how long the store asks to wait; zero where it says nothing
 * @param generation the generation of the store's history that the answer belongs to
 */
record StoreAnswer(int status, String body, Duration retryAfter, long generation) {}
