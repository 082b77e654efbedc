package org.aspenmoor.internal.serving;

/**
 * Limits how many prompts this entry may have at one engine, by additive increase and multiplicative decrease on how
 * long its prompts waited there.
 *
 * <p>For seconds at a time prompts may arrive one and a half to three times as fast as engines compute them. If they
 * were all sent on at once, they would wait in the engines' first-come-first-served queues: all of them would be
 * equally late, and none could be reordered or withdrawn. With a short queue at each engine, the rest waits at the
 * entries, which choose the order.
 *
 * <p>Entries do not coordinate: each reduces its window when its prompts wait longer than tolerated and increases it
 * when they do not. This works for any number of entries and needs no knowledge about the engine. If even one prompt
 * per entry is too much, an entry pauses between its prompts.
 */
final class PromptWindow {
    private static final double INITIAL_WINDOW = 1;

    /** One prompt per sixteen times its duration; sufficient for as many entries as use one engine at the same time. */
    private static final double MIN_WINDOW = 1.0 / 16;

    private static final double MAX_WINDOW = 64;

    /** Factor applied when a prompt has waited too long; halving the window would let engines idle. */
    private static final double DECREASE_FACTOR = 0.8;

    /** Increase of a full window for each prompt that has not waited too long. */
    private static final double INCREASE = 0.25;

    /** Window after the engine has rejected a prompt: one prompt after a pause. */
    private static final double WINDOW_AFTER_REJECTION = 0.5;

    /** About a tenth of the time for which an engine that changes its role rejects prompts. */
    private static final long REJECTION_PAUSE_NANOSECONDS = 300_000_000L;

    private double window = INITIAL_WINDOW;
    private int promptsAtEngine;
    private long decreasedAt = Long.MIN_VALUE;
    private long pausedUntil = Long.MIN_VALUE;
    private long rejectedUntil = Long.MIN_VALUE;

    boolean hasRoom(long now) {
        return promptsAtEngine + 1 <= window || (promptsAtEngine == 0 && now >= pausedUntil);
    }

    /** Returns whether the engine has rejected a prompt within the last {@link #REJECTION_PAUSE_NANOSECONDS}. */
    boolean recentlyRejected(long now) {
        return now < rejectedUntil;
    }

    /** Returns whether this entry has no prompt at the engine. */
    boolean isEmpty() {
        return promptsAtEngine == 0;
    }

    void promptSent() {
        promptsAtEngine++;
    }

    void promptEnded() {
        promptsAtEngine = Math.max(0, promptsAtEngine - 1);
    }

    /**
     * Records that the engine rejected a prompt because it is full or is temporarily doing other work. It then looks
     * idle, and without a pause would receive every prompt that no other engine has room for.
     */
    void promptRejected(long now) {
        window = Math.min(window, WINDOW_AFTER_REJECTION);
        rejectedUntil = now + REJECTION_PAUSE_NANOSECONDS;
        pausedUntil = rejectedUntil;
    }

    /**
     * Records that a prompt was computed; to be called before {@link #promptEnded}.
     *
     * @param sentAt when it was sent, in nanoseconds
     * @param now when its answer started, in nanoseconds
     * @param waitedSeconds how long it waited before the engine started to compute it
     * @param toleratedSeconds how long it was allowed to wait
     */
    void promptComputed(long sentAt, long now, double waitedSeconds, double toleratedSeconds) {
        if (waitedSeconds <= toleratedSeconds) {
            boolean full = promptsAtEngine + 1 > window;
            window = full ? Math.min(MAX_WINDOW, window + INCREASE) : window;
        } else if (sentAt > decreasedAt) {
            // Waits of prompts that were sent before the last decrease reflect the queue that caused the decrease.
            window = Math.max(MIN_WINDOW, window * DECREASE_FACTOR);
            decreasedAt = now;
        }
        double pauseNanoseconds = window >= 1 ? 0 : (now - sentAt) * (1 / window - 1);
        pausedUntil = now + (long) pauseNanoseconds;
    }
}
