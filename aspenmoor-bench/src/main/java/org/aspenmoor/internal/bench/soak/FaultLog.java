package org.aspenmoor.internal.bench.soak;

import java.util.EnumMap;
import java.util.Map;

/** Counts the faults that really happened, alone and together. */
final class FaultLog {
    private static final int TOGETHER_WITHIN_STEPS = 60;

    private final long[] counts = new long[FaultKind.values().length];
    private final long[][] pairs = new long[FaultKind.values().length][FaultKind.values().length];
    private final Map<FaultKind, Long> lastStep = new EnumMap<>(FaultKind.class);
    private long step;

    void beginStep(long newStep) {
        step = newStep;
    }

    /** Counts a fault, and a pair with each fault that happened within the last steps, the same one included. */
    void happened(FaultKind kind) {
        counts[kind.ordinal()]++;
        lastStep.forEach((other, at) -> {
            if (step - at <= TOGETHER_WITHIN_STEPS) {
                countPair(kind, other);
            }
        });
        lastStep.put(kind, step);
    }

    private void countPair(FaultKind first, FaultKind second) {
        int lower = Math.min(first.ordinal(), second.ordinal());
        int upper = Math.max(first.ordinal(), second.ordinal());
        pairs[lower][upper]++;
    }

    /** Adds another run's counts. */
    void add(FaultLog other) {
        for (int row = 0; row < counts.length; row++) {
            counts[row] += other.counts[row];
            for (int column = row; column < counts.length; column++) {
                pairs[row][column] += other.pairs[row][column];
            }
        }
    }

    long count(FaultKind kind) {
        return counts[kind.ordinal()];
    }

    long pair(FaultKind first, FaultKind second) {
        int lower = Math.min(first.ordinal(), second.ordinal());
        int upper = Math.max(first.ordinal(), second.ordinal());
        return pairs[lower][upper];
    }
}
