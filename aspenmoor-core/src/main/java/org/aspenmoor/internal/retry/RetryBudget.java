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
    private final double earnedByRequest;
    private final double mostSaved;
    private final Duration comeBackAfter;
    private double saved;

    /**
     * Creates a budget that starts full.
     *
     * @param earnedByRequest retries earned by each first attempt, for example 0.1
     * @param mostSaved the maximum number of retries in the budget
     * @param comeBackAfter the wait that a caller is told when the budget is exhausted
     */
    public RetryBudget(double earnedByRequest, double mostSaved, Duration comeBackAfter) {
        this.earnedByRequest = earnedByRequest;
        this.mostSaved = mostSaved;
        this.comeBackAfter = comeBackAfter;
        this.saved = mostSaved;
    }

    /** Records a first attempt. */
    public void firstAttempt() {
        saved = Math.min(mostSaved, saved + earnedByRequest);
    }

    /** Takes a retry from the budget if one is left. */
    public RetryDecision retry() {
        if (saved < 1) {
            return new RetryDecision.Spent(comeBackAfter);
        }
        saved -= 1;
        return new RetryDecision.Granted();
    }

    /** Returns the number of retries left. */
    public double saved() {
        return saved;
    }
}
