package org.aspenmoor.internal.claim;

import java.util.ArrayList;
import java.util.List;

/** What waits for one object. */
final class BucketWork {
    private final List<PendingClaim> claims = new ArrayList<>();
    private final List<PendingOutcome> outcomes = new ArrayList<>();
    private final long sinceNanoseconds;

    BucketWork(long sinceNanoseconds) {
        this.sinceNanoseconds = sinceNanoseconds;
    }

    List<PendingClaim> claims() {
        return claims;
    }

    List<PendingOutcome> outcomes() {
        return outcomes;
    }

    long sinceNanoseconds() {
        return sinceNanoseconds;
    }
}
