package org.aspenmoor.internal.routing;

/** How far one engine's cache events were followed, and how much of what was noted may still be believed. */
final class SequenceState {
    private long lastSequence = -1;
    private long generation;
    private long oldestBelieved;

    boolean isOld(long sequence) {
        return lastSequence >= 0 && sequence <= lastSequence;
    }

    /** Moves on; answers whether events are missing in between, after which older entries are aged. */
    boolean advanceTo(long sequence) {
        boolean gap = lastSequence >= 0 && sequence > lastSequence + 1;
        lastSequence = sequence;
        if (gap) {
            oldestBelieved = generation;
            generation++;
        }
        return gap;
    }

    void forgetAll() {
        generation++;
        oldestBelieved = generation;
    }

    long generation() {
        return generation;
    }

    boolean believes(long entryGeneration) {
        return entryGeneration >= oldestBelieved;
    }
}
