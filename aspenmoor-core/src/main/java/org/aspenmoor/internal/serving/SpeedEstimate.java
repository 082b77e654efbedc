package org.aspenmoor.internal.serving;

/**
 * How fast engines of one role work, learnt from when their answers began.
 *
 * <p>The load it answers: engines several times as fast as the settings say, or as slow. Taken for slow, engines with room
 * looked full, and callers were refused while a prompt took 20 ms; taken for fast, callers waited past their deadline.
 *
 * <p>What an answer took is a fixed part, a wait and its own work. Waits are known badly, as other entries send work too.
 * So a lone prompt tells the speed, and a prompt in a queue tells only that its own work took no longer than all of it.
 */
final class SpeedEstimate {
    /** Until answers are seen, in seconds: scheduling, the first step and the way there and back. */
    private static final double INITIAL_FIXED_SECONDS = 0.035;

    /** Weight of an answer that was quicker than its own work was expected to be: about the last ten count. */
    private static final double MIN_FASTER_WEIGHT = 0.1;

    /** Weight of a slower answer where nothing else was known at the engine; another entry may have been first. */
    private static final double SLOWER_WEIGHT = 0.03;

    /** One answer counts as no more than this many times slower or quicker than expected. */
    private static final double MAX_RATIO = 3;

    /** Engines a hundred times quicker or slower than the settings say are taken for a mistake in the settings. */
    private static final double MAX_FACTOR = 100;

    /** Weight of what another entry has found in what is known; each sees only a part of the answers. */
    private static final double PEER_WEIGHT = 0.01;

    /** A fixed part of an answer beyond a second is a fault, not a speed. */
    private static final double MAX_FIXED_SECONDS = 1;

    /** So many long prompts have shown the speed well enough to refuse callers by it. */
    private static final int MIN_OBSERVATIONS = 10;

    private double factor = 1;
    private int observations;
    private double fixedSeconds = INITIAL_FIXED_SECONDS;

    /** Returns how many times longer than the settings say work takes. */
    double factor() {
        return factor;
    }

    /** Returns what an answer takes beside its work. */
    double fixedSeconds() {
        return fixedSeconds;
    }

    /**
     * Takes in what another entry has found. An entry that has just started goes by it: with the settings' speed it would
     * fill the queues of engines that are slower, or refuse callers whom quicker ones could serve.
     */
    void learnFromPeer(double peerFactor, double peerFixedSeconds) {
        double weight = known() ? PEER_WEIGHT : 1;
        factor += weight * (Math.clamp(peerFactor, 1 / MAX_FACTOR, MAX_FACTOR) - factor);
        fixedSeconds += weight * (Math.clamp(peerFixedSeconds, 0, MAX_FIXED_SECONDS) - fixedSeconds);
        observations = Math.max(observations, MIN_OBSERVATIONS);
    }

    /** Returns whether enough answers were seen to refuse callers by it; a process that has just started has none. */
    boolean known() {
        return observations >= MIN_OBSERVATIONS;
    }

    /**
     * Notes an answer.
     *
     * @param workSeconds its own work, as expected
     * @param tookSeconds from the sending to the answer
     * @param alone whether nothing else was known at the engine
     */
    Correction observe(double workSeconds, double tookSeconds, boolean engineWasIdle) {
        if (workSeconds < fixedSeconds / 2) {
            learnFixed(Math.max(0, tookSeconds - workSeconds), engineWasIdle);
        }
        observations++;
        double ratio = Math.clamp((tookSeconds - fixedSeconds) / workSeconds, 1 / MAX_RATIO, MAX_RATIO);
        if (workSeconds < fixedSeconds / 4 || (ratio > 1 && !engineWasIdle)) {
            return Correction.NONE;
        }
        double weight = ratio < 1 ? Math.max(MIN_FASTER_WEIGHT, 1.0 / observations) : SLOWER_WEIGHT;
        Correction correction = new Correction(ratio, weight);
        factor = Math.clamp(correction.applyTo(factor), 1 / MAX_FACTOR, MAX_FACTOR);
        return correction;
    }

    private void learnFixed(double seconds, boolean engineWasIdle) {
        if (seconds < fixedSeconds) {
            fixedSeconds += MIN_FASTER_WEIGHT * (seconds - fixedSeconds);
        } else if (engineWasIdle) {
            fixedSeconds += SLOWER_WEIGHT * (Math.min(seconds, MAX_RATIO * fixedSeconds) - fixedSeconds);
        }
    }

    /**
     * What one answer says of a speed.
     *
     * @param ratio how many times longer than expected the work took
     * @param weight how much that counts
     */
    record Correction(double ratio, double weight) {
        static final Correction NONE = new Correction(1, 0);

        /** Returns a correction that counts for a part of this one. */
        Correction scaled(double fraction) {
            return new Correction(ratio, weight * fraction);
        }

        double applyTo(double value) {
            return value * Math.pow(ratio, weight);
        }
    }
}
