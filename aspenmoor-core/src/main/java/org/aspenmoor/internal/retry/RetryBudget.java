package org.aspenmoor.internal.retry;

import java.time.Duration;

/**
 * Limits the retries of one team to a fraction of its requests.
 *
 * <p>When engines are overloaded, attempts fail. If each is retried, the load doubles or triples and the system
 * does not recover: attempts increase while answers decrease. Each first attempt therefore earns a fraction of a
 * retry, and a retry costs a whole one. The budget is not refilled over time, so idle periods earn nothing.
 *
 * <p>Used by one thread only.
 */
public final class RetryBudget {
    private final double retriesPerRequest;
    private final double maxRetries;
    private final Duration retryAfter;
    private double availableRetries;

    /**
     * Creates a budget that starts full.
     *
     * @param retriesPerRequest retries earned by each first attempt, for example 0.1
     * @param maxRetries the maximum number of retries in the budget
     * @param retryAfter the wait that a caller is told when the budget is exhausted
     */
    public RetryBudget(double retriesPerRequest, double maxRetries, Duration retryAfter) {
        this.retriesPerRequest = retriesPerRequest;
        this.maxRetries = maxRetries;
        this.retryAfter = retryAfter;
        this.availableRetries = maxRetries;
    }

    /** Records a first attempt. */
    public void recordFirstAttempt() {
        availableRetries = Math.min(maxRetries, availableRetries + retriesPerRequest);
    }

    /** Takes a retry from the budget if one is left. */
    public RetryDecision tryAcquire() {
        if (availableRetries < 1) {
            return new RetryDecision.Exhausted(retryAfter);
        }
        availableRetries -= 1;
        return new RetryDecision.Granted();
    }

    /** Returns the number of retries left. */
    public double availableRetries() {
        return availableRetries;
    }
}
