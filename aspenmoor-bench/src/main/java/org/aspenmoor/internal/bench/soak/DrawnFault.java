package org.aspenmoor.internal.bench.soak;

/**
 * One fault of a schedule.
 *
 * @param index counts the faults of the schedule
 * @param step the step it was drawn in
 * @param kind what goes wrong
 */
record DrawnFault(int index, long step, FaultKind kind) {
    @Override
    public String toString() {
        return index + " at step " + step + ": " + kind;
    }
}
