package org.aspenmoor.internal.bench.capacity;

/**
 * Something that happens at a moment of a trial.
 *
 * @param at the moment in seconds
 * @param order settles which of two events at one moment goes first
 * @param action what happens
 */
record TrialEvent(double at, long order, Runnable action) implements Comparable<TrialEvent> {
    @Override
    public int compareTo(TrialEvent other) {
        int byTime = Double.compare(at, other.at);
        return byTime == 0 ? Long.compare(order, other.order) : byTime;
    }
}
