package org.aspenmoor.internal.routing;

/** Tracks the greatest weight of recent requests; after a minute, the next request replaces it. */
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
