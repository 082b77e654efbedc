package org.aspenmoor.internal.rollout;

import org.aspenmoor.internal.limit.TokenBucket;
import org.aspenmoor.internal.time.TimeSource;

/**
 * The share of the weight store's rate that one rollout may use.
 *
 * <p>The weight store limits its rate. Loads beyond it are refused or crawl, and an engine that waits for its weights
 * serves nothing meanwhile; so a load is ordered only when the store can feed it.
 */
public final class LoadBudget {
    private final TokenBucket bucket;

    public LoadBudget(TimeSource timeSource, double loadsPerSecond, double burst) {
        this.bucket = new TokenBucket(timeSource, loadsPerSecond, burst);
    }

    /** Takes one load if there is room for it now. */
    boolean take() {
        return bucket.take();
    }
}
