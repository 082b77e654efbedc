package org.aspenmoor.internal.serving.share;

import java.time.Duration;

/** Measures the recent rate of work with an exponential average. Times are nanoseconds of the monotonic clock. */
final class WorkRate {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final double averagingSeconds;
    private double perSecond;
    private long updatedAt;

    WorkRate(Duration averaging) {
        this.averagingSeconds = averaging.toNanos() / NANOSECONDS_PER_SECOND;
    }

    void add(double work, long now) {
        perSecond = perSecond(now) + work / averagingSeconds;
        updatedAt = now;
    }

    double perSecond(long now) {
        double elapsedSeconds = Math.max(0, now - updatedAt) / NANOSECONDS_PER_SECOND;
        return perSecond * Math.exp(-elapsedSeconds / averagingSeconds);
    }

    /** Returns whether nothing was added within the given time. */
    boolean idle(Duration span, long now) {
        return now - updatedAt > span.toNanos();
    }
}
