package org.aspenmoor.internal.serving;

import java.time.Duration;

/** The maximum of the values recorded within the last ten to twenty seconds. */
final class RecentMaximum {
    private static final long SPAN_NANOSECONDS = Duration.ofSeconds(10).toNanos();

    private long spanStart;
    private double currentMaximum;
    private double previousMaximum;

    void add(double value, long now) {
        rotate(now);
        currentMaximum = Math.max(currentMaximum, value);
    }

    /** Returns the maximum, or zero if no value was recorded recently. */
    double maximum(long now) {
        rotate(now);
        return Math.max(currentMaximum, previousMaximum);
    }

    private void rotate(long now) {
        long spans = (now - spanStart) / SPAN_NANOSECONDS;
        if (spans <= 0) {
            return;
        }
        previousMaximum = spans == 1 ? currentMaximum : 0;
        currentMaximum = 0;
        spanStart += spans * SPAN_NANOSECONDS;
    }
}
