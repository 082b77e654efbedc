package org.aspenmoor.internal.authority;

import java.time.Duration;

/**
 * The timing of the plan lease.
 *
 * @param length how long a successor waits after the last change it has seen before it takes over
 * @param margin how much earlier the holder stops deciding by its own clock
 * @param renewEvery the interval between renewals
 */
public record LeaseTerms(Duration length, Duration margin, Duration renewEvery) {
    /** A lease of 10 s with a margin of 3 s, renewed every 3 s. */
    public static final LeaseTerms DEFAULT =
            new LeaseTerms(Duration.ofSeconds(10), Duration.ofSeconds(3), Duration.ofSeconds(3));

    /** Returns how long after sending a renewal the holder may publish plans. */
    public Duration usable() {
        return length.minus(margin);
    }
}
