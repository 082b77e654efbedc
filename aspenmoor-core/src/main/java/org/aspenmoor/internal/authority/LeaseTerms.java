package org.aspenmoor.internal.authority;

import java.time.Duration;

/**
 * How a lease is held.
 *
 * @param length how long a would-be successor waits after the last change that it saw
 * @param margin how much earlier the holder stops by its own clock
 * @param renewEvery how often the holder renews
 */
public record LeaseTerms(Duration length, Duration margin, Duration renewEvery) {
    /** Leases of 10 s, given up 3 s early, renewed every 3 s. */
    public static final LeaseTerms DEFAULT =
            new LeaseTerms(Duration.ofSeconds(10), Duration.ofSeconds(3), Duration.ofSeconds(3));

    /** Returns how long after sending a renewal the holder may still decide. */
    public Duration usable() {
        return length.minus(margin);
    }
}
