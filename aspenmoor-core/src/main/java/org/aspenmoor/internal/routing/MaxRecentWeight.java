package org.aspenmoor.internal.routing;

/** Remembers the greatest weight among recent requests. */
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
