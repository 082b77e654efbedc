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
    private static final double FIRST_FIXED_SECONDS = 0.035;

    /** Weight of an answer that was quicker than its own work was expected to be: about the last ten count. */
    private static final double CERTAIN_WEIGHT = 0.1;

    /** Weight of a slower answer where nothing else was known at the engine; another entry may have been first. */
    private static final double LONE_WEIGHT = 0.03;

    /** One answer counts as no more than this many times slower or quicker than expected. */
    private static final double MOST_RATIO = 3;

    /** Engines a hundred times quicker or slower than the settings say are taken for a mistake in the settings. */
    private static final double MOST_FACTOR = 100;

    /** Weight of what another entry has found in what is known; each sees only a part of the answers. */
    private static final double HEARD_WEIGHT = 0.01;

    /** A fixed part of an answer beyond a second is a fault, not a speed. */
    private static final double MOST_FIXED_SECONDS = 1;

    /** So many long prompts have shown the speed well enough to refuse callers by it. */
    private static final int KNOWN_AFTER = 10;

    private double factor = 1;
    private int observations;
    private double fixedSeconds = FIRST_FIXED_SECONDS;

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
    void heard(double otherFactor, double otherFixedSeconds) {
        double weight = known() ? HEARD_WEIGHT : 1;
        factor += weight * (Math.clamp(otherFactor, 1 / MOST_FACTOR, MOST_FACTOR) - factor);
        fixedSeconds += weight * (Math.clamp(otherFixedSeconds, 0, MOST_FIXED_SECONDS) - fixedSeconds);
        observations = Math.max(observations, KNOWN_AFTER);
    }

    /** Returns whether enough answers were seen to refuse callers by it; a process that has just started has none. */
    boolean known() {
        return observations >= KNOWN_AFTER;
    }

    /**
     * Notes an answer.
     *
     * @param workSeconds its own work, as expected
     * @param tookSeconds from the sending to the answer
     * @param alone whether nothing else was known at the engine
     */
    Correction observe(double workSeconds, double tookSeconds, boolean alone) {
        if (workSeconds < fixedSeconds / 2) {
            learnFixed(Math.max(0, tookSeconds - workSeconds), alone);
        }
        observations++;
        double ratio = Math.clamp((tookSeconds - fixedSeconds) / workSeconds, 1 / MOST_RATIO, MOST_RATIO);
        if (workSeconds < fixedSeconds / 4 || (ratio > 1 && !alone)) {
            return Correction.NONE;
        }
        double weight = ratio < 1 ? Math.max(CERTAIN_WEIGHT, 1.0 / observations) : LONE_WEIGHT;
        Correction correction = new Correction(ratio, weight);
        factor = Math.clamp(correction.applied(factor), 1 / MOST_FACTOR, MOST_FACTOR);
        return correction;
    }

    private void learnFixed(double seconds, boolean alone) {
        if (seconds < fixedSeconds) {
            fixedSeconds += CERTAIN_WEIGHT * (seconds - fixedSeconds);
        } else if (alone) {
            fixedSeconds += LONE_WEIGHT * (Math.min(seconds, MOST_RATIO * fixedSeconds) - fixedSeconds);
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
        Correction shared(double part) {
            return new Correction(ratio, weight * part);
        }

        double applied(double to) {
            return to * Math.pow(ratio, weight);
        }
    }
}
