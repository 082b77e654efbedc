package org.aspenmoor.internal.claim;

/**
 * The right to run one call once.
 *
 * @param key what was claimed
 * @param nonce by which the committer recognises its own claim in the store
 */
public record ClaimTicket(ClaimKey key, String nonce) {}
