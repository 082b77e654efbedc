package org.aspenmoor.internal.serving.limit;

/** Measures the recent rate of requests. */
final class DemandMeter {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Averages over about the last four seconds. */
    private static final double AVERAGING_SECONDS = 4;

    private double requestsPerSecond;
    private long updatedAt;

    void add(long now) {
        requestsPerSecond = perSecond(now) + 1 / AVERAGING_SECONDS;
        updatedAt = now;
    }

    double perSecond(long now) {
        double elapsedSeconds = Math.max(0, now - updatedAt) / NANOSECONDS_PER_SECOND;
        return requestsPerSecond * Math.exp(-elapsedSeconds / AVERAGING_SECONDS);
    }
}
