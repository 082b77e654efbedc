package org.aspenmoor.internal.store.client;

/**
 * What the store answered to a call that it carried out.
 *
 * @param body the body
 * @param generation the generation of the store's history that the answer belongs to
 */
public record StoreReply(String body, long generation) {}
