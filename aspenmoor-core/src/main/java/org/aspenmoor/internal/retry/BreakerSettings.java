package org.aspenmoor.internal.retry;

import java.time.Duration;

/**
 * When a circuit breaker opens, and for how long.
 *
 * @param failureThreshold number of consecutive failures or stalls that open the breaker
 * @param initialOpenTime how long the breaker stays open at first
 * @param maxOpenTime the limit up to which this time doubles with every failed trial
 * @param trialTimeout time after which a trial without a result counts as failed
 */
public record BreakerSettings(
        int failureThreshold, Duration initialOpenTime, Duration maxOpenTime, Duration trialTimeout) {
    /** Three consecutive failures, open for 1 s to 30 s, trials of at most 10 s. */
    public static final BreakerSettings DEFAULT =
            new BreakerSettings(3, Duration.ofSeconds(1), Duration.ofSeconds(30), Duration.ofSeconds(10));
}
