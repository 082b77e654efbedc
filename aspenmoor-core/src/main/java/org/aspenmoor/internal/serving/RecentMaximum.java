package org.aspenmoor.internal.serving;

import java.time.Duration;

/** The largest of the values that were noted within the last ten to twenty seconds. */
final class RecentMaximum {
    private static final long SPAN_NANOSECONDS = Duration.ofSeconds(10).toNanos();

    private long spanFrom;
    private double inSpan;
    private double inSpanBefore;

    void note(double value, long now) {
        turn(now);
        inSpan = Math.max(inSpan, value);
    }

    /** Returns the largest value; zero where none was noted lately. */
    double most(long now) {
        turn(now);
        return Math.max(inSpan, inSpanBefore);
    }

    private void turn(long now) {
        long spans = (now - spanFrom) / SPAN_NANOSECONDS;
        if (spans <= 0) {
            return;
        }
        inSpanBefore = spans == 1 ? inSpan : 0;
        inSpan = 0;
        spanFrom += spans * SPAN_NANOSECONDS;
    }
}
