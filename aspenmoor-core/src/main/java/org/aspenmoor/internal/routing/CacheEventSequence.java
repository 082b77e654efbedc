package org.aspenmoor.internal.routing;

/** How far one engine's cache events were followed, and how much of what was noted may still be believed. */
final class CacheEventSequence {
    private long lastSequence = -1;
    private long generation;
    private long oldestTrustedGeneration;

    boolean isStale(long sequence) {
        return lastSequence >= 0 && sequence <= lastSequence;
    }

    /** Moves on; answers whether events are missing in between, after which older entries are aged. */
    boolean advanceTo(long sequence) {
        boolean gap = lastSequence >= 0 && sequence > lastSequence + 1;
        lastSequence = sequence;
        if (gap) {
            oldestTrustedGeneration = generation;
            generation++;
        }
        return gap;
    }

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
