package org.aspenmoor.internal.admission;

/**
 * Measures the rate at which work leaves the queue while requests wait, in engine-seconds per second.
 *
 * <p>Only times with a backlog are measured. Without a backlog, the rate is that of the arrivals and would be too low.
 */
final class ServiceRate {
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double MIN_SAMPLE_SECONDS = 0.25;

    private final double smoothingSeconds;
    private double rate;
    private double dispatchedInSample;
    private double backloggedSeconds;
    private long observedAt;
    private boolean backlogged;

    ServiceRate(double initialRate, double smoothingSeconds) {
        this.rate = initialRate;
        this.smoothingSeconds = smoothingSeconds;
    }

    void recordDispatched(double engineSeconds) {
        if (backlogged) {
            dispatchedInSample += engineSeconds;
        }
    }

    void observe(boolean backloggedNow, long now) {
        if (backlogged) {
            backloggedSeconds += Math.max(0, now - observedAt) / NANOSECONDS_PER_SECOND;
        }
        observedAt = now;
        backlogged = backloggedNow;
        if (backloggedSeconds >= MIN_SAMPLE_SECONDS) {
            double weight = 1 - Math.exp(-backloggedSeconds / smoothingSeconds);
            rate += weight * (dispatchedInSample / backloggedSeconds - rate);
            dispatchedInSample = 0;
            backloggedSeconds = 0;
        }
    }

    double engineSecondsPerSecond(double minRate) {
        return Math.max(minRate, rate);
    }
}
