package org.aspenmoor.internal.routing;

/** Remembers the greatest weight among recent requests. */
final class HeaviestWeight {
    private static final long MEMORY_NANOSECONDS = 60_000_000_000L;

    private double weight;
    private long seenAt;

    void seen(double requestWeight, long now) {
        if (requestWeight >= weight || now - seenAt > MEMORY_NANOSECONDS) {
            weight = requestWeight;
            seenAt = now;
        }
    }

    double weight() {
        return weight;
    }
}
