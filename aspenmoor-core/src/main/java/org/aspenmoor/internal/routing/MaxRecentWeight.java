package org.aspenmoor.internal.routing;

/** Tracks the greatest weight of the requests of the last minute. */
final class MaxRecentWeight {
    private static final long RETENTION_NANOSECONDS = 60_000_000_000L;

    private double weight;
    private long observedAt;

    void observe(double requestWeight, long now) {
        if (requestWeight >= weight || now - observedAt > RETENTION_NANOSECONDS) {
            weight = requestWeight;
            observedAt = now;
        }
    }

    double weight() {
        return weight;
    }
}
