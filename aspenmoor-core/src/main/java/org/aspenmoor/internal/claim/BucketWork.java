package org.aspenmoor.internal.claim;

import java.util.ArrayList;
import java.util.List;

/** The claims and outcomes waiting to be written to one bucket. */
final class BucketWork {
    private final List<PendingClaim> claims = new ArrayList<>();
    private final List<PendingOutcome> outcomes = new ArrayList<>();
    private final long queuedAtNanos;

    BucketWork(long queuedAtNanos) {
        this.queuedAtNanos = queuedAtNanos;
    }

    List<PendingClaim> claims() {
        return claims;
    }

    List<PendingOutcome> outcomes() {
        return outcomes;
    }

    long queuedAtNanos() {
        return queuedAtNanos;
    }
}
