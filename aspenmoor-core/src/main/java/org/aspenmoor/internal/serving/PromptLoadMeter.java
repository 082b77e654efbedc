package org.aspenmoor.internal.serving;

/**
 * Measures the recent prompt load on the engines of a service; sampled several times a second.
 *
 * <p>The measure is the work that is sent to the engines, not the number of open requests: if answers are lost,
 * requests stay open for seconds and idle engines look busy.
 */
final class PromptLoadMeter {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /**
     * Averages over about the last one and a half seconds: long enough to ignore a pause between two bursts, short
     * enough to follow the start of a burst.
     */
    private static final double AVERAGING_SECONDS = 1.5;

    /**
     * Utilisation (sent work as a fraction of the engines' time) below which three of four engines could compute all
     * prompts and still have a third of their time free.
     */
    private static final double EASY_UTILISATION = 0.5;

    /** If requests wait at the entry in more than this fraction of the samples, the engines cannot keep up. */
    private static final double PRESSED_WAITING_FRACTION = 0.2;

    /** If requests wait in less than this fraction of the samples, the engines have room. */
    private static final double EASY_WAITING_FRACTION = 0.1;

    /**
     * Starts high because an entry that has just started does not know the load; until it does, no prefill engine is
     * reassigned to decoding.
     */
    private double utilisation = 2;

    private double waitingFraction;
    private double sentSeconds;
    private boolean queuedAtEntry;
    private long sampledAt;

    /**
     * Records a prompt that this entry sends to an engine.
     *
     * @param seconds how long the engine computes it
     * @param mayQueueAtEntry whether it would wait at the entry if no engine had room; otherwise queues at the engines
     *     hide the load
     */
    void promptSent(double seconds, boolean mayQueueAtEntry) {
        sentSeconds += seconds;
        queuedAtEntry = mayQueueAtEntry;
    }

    /**
     * Adds a sample of the work that was sent since the previous one.
     *
     * @param entries number of entries; each is assumed to send as much as this one
     * @param engines how many engines compute prompts
     * @param waiting whether requests wait at this entry for room at an engine
     */
    void sample(int entries, int engines, boolean waiting, long now) {
        double elapsedSeconds = (now - sampledAt) / NANOSECONDS_PER_SECOND;
        if (sampledAt != 0 && elapsedSeconds > 0) {
            double weight = 1 - Math.exp(-elapsedSeconds / AVERAGING_SECONDS);
            double sampledUtilisation = sentSeconds * entries / Math.max(1, engines) / elapsedSeconds;
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
