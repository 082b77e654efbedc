package org.aspenmoor.internal.retry;

import java.time.Duration;

/**
 * When a backend server is left alone.
 *
 * @param failuresInARow how many failures or stalls open the breaker
 * @param firstPause how long it then gets nothing
 * @param longestPause to which the pause doubles with every failed trial
 * @param trialTimeout after which a trial without an end counts as failed
 */
public record BreakerSettings(int failuresInARow, Duration firstPause, Duration longestPause, Duration trialTimeout) {
    /** Three in a row, pauses of 1 s to 30 s, trials of 10 s. */
    public static final BreakerSettings DEFAULT =
            new BreakerSettings(3, Duration.ofSeconds(1), Duration.ofSeconds(30), Duration.ofSeconds(10));
}
