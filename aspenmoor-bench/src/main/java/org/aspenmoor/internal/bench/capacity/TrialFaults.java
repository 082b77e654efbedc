package org.aspenmoor.internal.bench.capacity;

/**
 * What goes wrong in a trial.
 *
 * @param messageLoss the share of messages between processes that get lost
 * @param watchLoss the share of watch events that a relay's watch skips
 * @param apartFrom when the last region is cut off, in seconds; negative for never
 * @param apartUntil when it is joined again
 * @param dataCentreReturns when the first data centre comes back with all processes empty; negative for never
 */
record TrialFaults(
        double messageLoss, double watchLoss, double apartFrom, double apartUntil, double dataCentreReturns) {
    static TrialFaults none() {
        return new TrialFaults(0, 0, -1, -1, -1);
    }

    boolean apart(double now) {
        return now >= apartFrom && now < apartUntil;
    }
}
