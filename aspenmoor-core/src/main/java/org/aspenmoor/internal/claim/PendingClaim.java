package org.aspenmoor.internal.claim;

/**
 * A claim that waits for the store.
 *
 * @param request the call
 * @param nonce drawn once, so that the claim is recognised however often its write is tried
 */
record PendingClaim(ClaimRequest request, String nonce) {
    String keyHash() {
        return request.key().hash();
    }

    ClaimTicket ticket() {
        return new ClaimTicket(request.key(), nonce);
    }
}
