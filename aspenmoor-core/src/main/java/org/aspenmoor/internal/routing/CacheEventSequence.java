package org.aspenmoor.internal.routing;

/** Tracks the sequence of cache events of one engine and which index entries are still trusted after gaps. */
final class CacheEventSequence {
    private long lastSequence = -1;
    private long generation;
    private long oldestTrustedGeneration;

    boolean isStale(long sequence) {
        return lastSequence >= 0 && sequence <= lastSequence;
    }

    /** Advances to an event; returns whether events before it were missed, in which case older entries are aged. */
    boolean advanceTo(long sequence) {
        boolean gap = lastSequence >= 0 && sequence > lastSequence + 1;
        lastSequence = sequence;
        if (gap) {
            oldestTrustedGeneration = generation;
            generation++;
        }
        return gap;
    }

    /** Invalidates all entries of the engine. */
    void invalidateAll() {
        generation++;
        oldestTrustedGeneration = generation;
    }

    long generation() {
        return generation;
    }

    boolean trusts(long entryGeneration) {
        return entryGeneration >= oldestTrustedGeneration;
    }
}
