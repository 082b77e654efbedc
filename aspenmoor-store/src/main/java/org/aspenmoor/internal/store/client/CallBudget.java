package org.aspenmoor.internal.store.client;

import org.aspenmoor.internal.limit.TokenBucket;
import org.aspenmoor.internal.store.StoreBudgetException;
import org.aspenmoor.internal.time.TimeSource;

/**
 * The process's share of store calls: a token bucket.
 *
 * <p>The store counts every call and its rates grow more slowly than the fleet. Without a limit in each process, a
 * recovery in which all processes read at once would use up the store's rate and keep it from recovering.
 */
public final class CallBudget {
    private final TokenBucket bucket;

    public CallBudget(TimeSource time, double callsPerSecond, int mostCallsAtOnce) {
        this.bucket = new TokenBucket(time, callsPerSecond, mostCallsAtOnce);
    }

    /** Takes one call out of the budget. */
    public synchronized void take(String place) throws StoreBudgetException {
        if (!bucket.take()) {
            throw new StoreBudgetException(
                    "The process has used its share of store calls; nothing was sent.",
                    place,
                    "Try again after a second, or raise the calls per second in the settings.");
        }
    }
}
