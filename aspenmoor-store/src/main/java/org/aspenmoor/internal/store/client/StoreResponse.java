package org.aspenmoor.internal.store.client;

/**
 * The response to a successful call.
 *
 * @param body the body
 * @param generation the generation of the store's history that the response belongs to
 */
public record StoreResponse(String body, long generation) {}
