package org.aspenmoor.internal.bench.soak;

import org.aspenmoor.internal.claim.ClaimRequest;

/**
 * A call to a plain service that may run once.
 *
 * @param claim under which key
 * @param sentAtNanoseconds when it was dispatched
 */
record BookingCall(ClaimRequest claim, long sentAtNanoseconds) {
    /** Returns the digest that the answer of this very call has. */
    String answerDigest() {
        return "answer to " + claim.id();
    }
}
