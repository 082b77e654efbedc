package org.aspenmoor.internal.serving;

import java.time.Duration;

/** Measures the recent rate of requests or work with an exponential average. Times are nanoseconds of the monotonic clock. */
public final class RecentRate {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final double averagingSeconds;
    private double perSecond;
    private long updatedAt;

    /**
     * Creates a rate of zero.
     *
     * @param averaging the time constant of the average
     */
    public RecentRate(Duration averaging) {
        this.averagingSeconds = averaging.toNanos() / NANOSECONDS_PER_SECOND;
    }

    /** Adds an amount at the given time. */
    public void add(double amount, long now) {
        perSecond = perSecond(now) + amount / averagingSeconds;
        updatedAt = now;
    }

    /** Returns the recent amount per second. */
    public double perSecond(long now) {
        double elapsedSeconds = Math.max(0, now - updatedAt) / NANOSECONDS_PER_SECOND;
        return perSecond * Math.exp(-elapsedSeconds / averagingSeconds);
    }

    /** Returns whether nothing was added within the given time. */
    public boolean idle(Duration span, long now) {
        return now - updatedAt > span.toNanos();
    }
}
