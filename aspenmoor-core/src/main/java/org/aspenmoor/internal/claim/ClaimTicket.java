package org.aspenmoor.internal.claim;

/**
 * Permission to run a call once, under the claimed key.
 *
 * @param key the claimed key
 * @param nonce the value by which the committer recognises its own claim in the store
 */
public record ClaimTicket(ClaimKey key, String nonce) {}
