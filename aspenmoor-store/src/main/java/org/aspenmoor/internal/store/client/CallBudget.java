package org.aspenmoor.internal.store.client;

import org.aspenmoor.internal.limit.TokenBucket;
import org.aspenmoor.internal.store.StoreBudgetException;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Limits the rate of store calls of this process with a token bucket.
 *
 * <p>The store limits the total rate of calls, and that limit grows more slowly than the fleet. Without a limit in each
 * process, all processes reading at once after an outage would exceed the rate limit and keep the store from
 * recovering.
 */
public final class CallBudget {
    private final TokenBucket bucket;

    public CallBudget(TimeSource time, double callsPerSecond, int maxBurstCalls) {
        this.bucket = new TokenBucket(time, callsPerSecond, maxBurstCalls);
    }

    /** Takes one call out of the budget; fails if the budget is used up. */
    public synchronized void acquire(String place) throws StoreBudgetException {
        if (!bucket.tryAcquire()) {
            throw new StoreBudgetException(
                    "The call budget of the process is used up; nothing was sent.",
                    place,
                    "Retry after a second, or raise the calls per second in the settings.");
        }
    }
}
