package org.aspenmoor.internal.admission;

/**
 * Measures how many engine-seconds of work leave the queue a second while some of it waits.
 *
 * <p>Only times with a backlog count: an idle queue sends as little as arrives and would look slow.
 */
final class ServiceRate {
    private static final double NANOSECONDS = 1e9;
    private static final double SHORTEST_SAMPLE_SECONDS = 0.25;

    private final double memorySeconds;
    private double rate;
    private double sentInSample;
    private double backloggedSeconds;
    private long lastAt;
    private boolean backlogged;

    ServiceRate(double initialRate, double memorySeconds) {
        this.rate = initialRate;
        this.memorySeconds = memorySeconds;
    }

    void sent(double engineSeconds) {
        if (backlogged) {
            sentInSample += engineSeconds;
        }
    }

    void observe(boolean backloggedNow, long now) {
        if (backlogged) {
            backloggedSeconds += Math.max(0, now - lastAt) / NANOSECONDS;
        }
        lastAt = now;
        backlogged = backloggedNow;
        if (backloggedSeconds >= SHORTEST_SAMPLE_SECONDS) {
            double share = 1 - Math.exp(-backloggedSeconds / memorySeconds);
            rate += share * (sentInSample / backloggedSeconds - rate);
            sentInSample = 0;
            backloggedSeconds = 0;
        }
    }

    double engineSecondsPerSecond(double least) {
        return Math.max(least, rate);
    }
}
