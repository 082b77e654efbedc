package org.aspenmoor.internal.retry;

import java.time.Duration;

/**
 * Limits the retries of one team to a share of its requests.
 *
 * <p>When engines are overloaded, attempts fail, and if each is repeated the load doubles or triples and nothing
 * recovers: one would see attempts grow while answers fall. Each first attempt therefore earns a part of a retry, and a
 * retry takes a whole one. There is no refill by time, so silence earns nothing.
 *
 * <p>Used by one thread only.
 */
public final class RetryBudget {
    private final double earnedByRequest;
    private final double mostSaved;
    private final Duration comeBackAfter;
    private double saved;

    /**
     * Makes a budget that starts full.
     *
     * @param earnedByRequest retries earned by each first attempt, for example 0.1
     * @param mostSaved how many retries may be saved up
     * @param comeBackAfter what a caller is told when the budget is spent
     */
    public RetryBudget(double earnedByRequest, double mostSaved, Duration comeBackAfter) {
        this.earnedByRequest = earnedByRequest;
        this.mostSaved = mostSaved;
        this.comeBackAfter = comeBackAfter;
        this.saved = mostSaved;
    }

    /** Notes a first attempt. */
    public void firstAttempt() {
        saved = Math.min(mostSaved, saved + earnedByRequest);
    }

    /** Takes a retry if there is one left. */
    public RetryDecision retry() {
        if (saved < 1) {
            return new RetryDecision.Spent(comeBackAfter);
        }
        saved -= 1;
        return new RetryDecision.Granted();
    }

    /** Returns how many retries are left. */
    public double saved() {
        return saved;
    }
}
