package org.aspenmoor.internal.claim;

/**
 * A claim that is waiting to be written.
 *
 * @param request the call
 * @param nonce drawn once per claim, so that the claim is recognised in the store after any number of write attempts
 */
record PendingClaim(ClaimRequest request, String nonce) {
    String keyHash() {
        return request.key().hash();
    }

    ClaimTicket ticket() {
        return new ClaimTicket(request.key(), nonce);
    }
}
