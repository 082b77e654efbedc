package org.aspenmoor.internal.serving;

/**
 * Finds how much the prompts of a service lately press on its engines; sampled several times a second.
 *
 * <p>It goes by the work that is sent to the engines, not by what is out there: where answers are lost, requests stay out
 * for seconds and idle engines look busy.
 */
final class PromptLoadMeter {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** About the last second and a half counts: a lull between two bursts does not, and a burst does at once. */
    private static final double AVERAGING_SECONDS = 1.5;

    /** With less of their time taken, one engine less of four still has a third of its time free. */
    private static final double EASY_UTILISATION = 0.5;

    /** Requests waited at the entry in this part of the samples: the engines cannot take what comes. */
    private static final double PRESSED_WAITING_FRACTION = 0.2;

    /** Requests waited in so few samples that engines have room. */
    private static final double EASY_WAITING_FRACTION = 0.1;

    /** An entry that has just started does not know yet; until it does, nobody takes an engine from the prompts. */
    private double utilisation = 2;

    private double waitingFraction;
    private double sentSeconds;
    private boolean queuedAtEntry;
    private long sampledAt;

    /**
     * Notes a prompt that this entry sends to an engine.
     *
     * @param seconds how long the engine computes it
     * @param waitsHere whether it would wait at the entry where no engine has room; else queues at engines hide what comes
     */
    void promptSent(double seconds, boolean mayQueueAtEntry) {
        sentSeconds += seconds;
        queuedAtEntry = mayQueueAtEntry;
    }

    /**
     * Takes what was sent since the last sample.
     *
     * @param entries how many entries send as much as this one
     * @param engines how many engines compute prompts
     * @param waiting whether requests wait at this entry for room at an engine
     */
    void sample(int entries, int engines, boolean waiting, long now) {
        double elapsed = (now - sampledAt) / NANOSECONDS_PER_SECOND;
        if (sampledAt != 0 && elapsed > 0) {
            double weight = 1 - Math.exp(-elapsed / AVERAGING_SECONDS);
            double sampledUtilisation = sentSeconds * entries / Math.max(1, engines) / elapsed;
            utilisation += weight * (sampledUtilisation - utilisation);
            waitingFraction += weight * ((waiting ? 1 : 0) - waitingFraction);
        }
        sentSeconds = 0;
        sampledAt = now;
    }

    PromptLoad load() {
        if (waitingFraction > PRESSED_WAITING_FRACTION) {
            return PromptLoad.PRESSED;
        }
        boolean easy = queuedAtEntry && utilisation < EASY_UTILISATION && waitingFraction < EASY_WAITING_FRACTION;
        return easy ? PromptLoad.EASY : PromptLoad.USUAL;
    }
}
