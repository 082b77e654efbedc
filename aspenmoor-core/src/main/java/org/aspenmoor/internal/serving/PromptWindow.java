package org.aspenmoor.internal.serving;

/**
 * How many prompts this entry may have at one engine, learnt from how long its prompts waited there.
 *
 * <p>The load it answers: for seconds, prompts come one and a half to three times as fast as engines compute them. Sent
 * on at once, they wait in the engines' own order, first come first served, and all of them are late alike; nothing can
 * be overtaken or taken back. With a short queue at each engine the rest waits at the entries, which choose who goes first.
 *
 * <p>Entries do not ask each other: each gives way when its prompts wait for longer than is tolerated, and asks for more
 * while they do not. That holds for any number of entries, and needs no figure of the engine. Where even one prompt of
 * each entry is too much, an entry pauses between its prompts.
 */
final class PromptWindow {
    private static final double INITIAL_WINDOW = 1;

    /** One prompt in sixteen times as long as it took: enough for as many entries as share an engine at one time. */
    private static final double MIN_WINDOW = 1.0 / 16;

    private static final double MAX_WINDOW = 64;

    /** What a window keeps when a prompt has waited for too long; halving leaves engines idle between. */
    private static final double DECREASE_FACTOR = 0.8;

    /** What a full window gains with each prompt that has not waited for too long. */
    private static final double INCREASE = 0.25;

    /** The window of an engine that has turned a prompt away: one prompt after a pause. */
    private static final double WINDOW_AFTER_REJECTION = 0.5;

    /** About a tenth of the time for which an engine that changes its role turns prompts away. */
    private static final long REJECTION_PAUSE_NANOSECONDS = 300_000_000L;

    private double window = INITIAL_WINDOW;
    private int promptsAtEngine;
    private long decreasedAt = Long.MIN_VALUE;
    private long pausedUntil = Long.MIN_VALUE;
    private long rejectedUntil = Long.MIN_VALUE;

    boolean hasRoom(long now) {
        return promptsAtEngine + 1 <= window || (promptsAtEngine == 0 && now >= pausedUntil);
    }

    /** Returns whether the engine has turned a prompt away a moment ago. */
    boolean recentlyRejected(long now) {
        return now < rejectedUntil;
    }

    /** Returns whether no prompt of this entry is at the engine. */
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
     * Notes that the engine turned a prompt away: it is full, or does something else for a while. It looks idle then, and
     * without a pause would be sent every prompt that no other engine has room for.
     */
    void promptRejected(long now) {
        window = Math.min(window, WINDOW_AFTER_REJECTION);
        rejectedUntil = now + REJECTION_PAUSE_NANOSECONDS;
        pausedUntil = rejectedUntil;
    }

    /**
     * Notes that a prompt was computed; to be told before its end.
     *
     * @param placedAt when it was sent, in nanoseconds
     * @param now when the answer came, in nanoseconds
     * @param waitedSeconds how long it waited before the engine turned to it
     * @param toleratedSeconds how long it might have
     */
    void promptComputed(long sentAt, long now, double waitedSeconds, double toleratedSeconds) {
        if (waitedSeconds <= toleratedSeconds) {
            boolean full = promptsAtEngine + 1 > window;
            window = full ? Math.min(MAX_WINDOW, window + INCREASE) : window;
        } else if (sentAt > decreasedAt) {
            // Prompts that were sent before the last change tell of the queue that led to it.
            window = Math.max(MIN_WINDOW, window * DECREASE_FACTOR);
            decreasedAt = now;
        }
        double pause = window >= 1 ? 0 : (now - sentAt) * (1 / window - 1);
        pausedUntil = now + (long) pause;
    }
}
