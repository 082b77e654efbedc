package org.aspenmoor.internal.authority;

import java.time.Duration;

/**
 * The timing of the plan lease.
 *
 * @param duration how long a successor waits after the last change it has seen before it takes over
 * @param margin how much earlier the holder stops deciding by its own clock
 * @param renewInterval the interval between renewals
 */
public record LeaseTimings(Duration duration, Duration margin, Duration renewInterval) {
    /** A lease of 10 s with a margin of 3 s, renewed every 3 s. */
    public static final LeaseTimings DEFAULT =
            new LeaseTimings(Duration.ofSeconds(10), Duration.ofSeconds(3), Duration.ofSeconds(3));

    /** Returns how long after sending a renewal the holder may publish plans. */
    public Duration usableDuration() {
        return duration.minus(margin);
    }
}
