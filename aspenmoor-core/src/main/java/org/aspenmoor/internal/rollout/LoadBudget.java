package org.aspenmoor.internal.rollout;

import org.aspenmoor.internal.limit.TokenBucket;
import org.aspenmoor.internal.time.TimeSource;

/**
 * The part of the rate limit of the weight store that one rollout may use.
 *
 * <p>Loads above the rate limit of the weight store are refused or very slow, and an engine that waits for weights
 * serves no requests. Therefore a load is ordered only within the budget.
 */
public final class LoadBudget {
    private final TokenBucket bucket;

    public LoadBudget(TimeSource timeSource, double loadsPerSecond, double burst) {
        this.bucket = new TokenBucket(timeSource, loadsPerSecond, burst);
    }

    /** Takes one load from the budget; returns whether one was available. */
    boolean take() {
        return bucket.tryAcquire();
    }
}
