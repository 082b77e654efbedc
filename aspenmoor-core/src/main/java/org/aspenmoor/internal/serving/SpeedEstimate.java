package org.aspenmoor.internal.serving;

/**
 * Estimates the speed of engines with one role from when their answers started.
 *
 * <p>Engines may be several times faster or slower than the settings specify. If fast engines are treated as slow,
 * engines with room look full and callers are refused although a prompt takes 20 ms; if slow engines are treated as
 * fast, callers wait past their deadline.
 *
 * <p>The time until an answer starts consists of a fixed part, a wait and the work itself. Waits are not known exactly,
 * because other entries send work too. Only a prompt on an idle engine therefore shows the speed; a prompt in a queue
 * only shows that its own work took no longer than the total time.
 */
final class SpeedEstimate {
    /**
     * Fixed part assumed until answers have been measured, in seconds: scheduling, the first decode step and the
     * network round trip.
     */
    private static final double INITIAL_FIXED_SECONDS = 0.035;

    /** Minimum weight of an answer that was faster than its expected work; about the last ten count. */
    private static final double MIN_FASTER_WEIGHT = 0.1;

    /** Weight of a slower answer from an engine that seemed idle; work that another entry sent may have come first. */
    private static final double SLOWER_WEIGHT = 0.03;

    /** A single answer counts as at most this many times slower or faster than expected. */
    private static final double MAX_RATIO = 3;

    /** Larger deviations from the settings, in either direction, are treated as an error in the settings. */
    private static final double MAX_FACTOR = 100;

    /**
     * Weight of a speed reported by another entry once the speed is known; each entry sees only some of the answers.
     */
    private static final double PEER_WEIGHT = 0.01;

    /** A fixed part of more than a second is a fault, not a speed. */
    private static final double MAX_FIXED_SECONDS = 1;

    /** After this many long prompts the speed is known well enough to refuse callers on its basis. */
    private static final int MIN_OBSERVATIONS = 10;

    private final StartDelay startDelay = new StartDelay();
    private double factor = 1;
    private int observations;
    private double fixedSeconds = INITIAL_FIXED_SECONDS;

    /** Returns how many times longer work takes than the settings specify. */
    double factor() {
        return factor;
    }

    /** Returns the part of an answer's start-up time that does not depend on its work, in seconds. */
    double fixedSeconds() {
        return fixedSeconds;
    }

    /** Returns how long answers take to start, queues included. */
    StartDelay startDelay() {
        return startDelay;
    }

    /**
     * Applies an estimate reported by another entry. An entry that has just started adopts it: with the speed of the
     * settings it would fill the queues of engines that are slower, or refuse callers that faster engines could serve.
     */
    void learnFromPeer(double peerFactor, double peerFixedSeconds) {
        double weight = known() ? PEER_WEIGHT : 1;
        factor += weight * (Math.clamp(peerFactor, 1 / MAX_FACTOR, MAX_FACTOR) - factor);
        fixedSeconds += weight * (Math.clamp(peerFixedSeconds, 0, MAX_FIXED_SECONDS) - fixedSeconds);
        observations = Math.max(observations, MIN_OBSERVATIONS);
    }

    /** Returns whether enough answers were seen to refuse callers on the basis of this estimate; initially false. */
    boolean known() {
        return observations >= MIN_OBSERVATIONS;
    }

    /**
     * Records the start of an answer.
     *
     * @param workSeconds its expected work
     * @param tookSeconds time from sending the request to the start of the answer
     * @param engineWasIdle whether no other work was known at the engine
     * @return the correction to apply to estimates of the individual engine
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
     * The correction of a speed by one answer.
     *
     * @param ratio how many times longer than expected the work took
     * @param weight the weight of the correction
     */
    record Correction(double ratio, double weight) {
        static final Correction NONE = new Correction(1, 0);

        /** Returns a correction with a fraction of the weight. */
        Correction scaled(double fraction) {
            return new Correction(ratio, weight * fraction);
        }

        double applyTo(double value) {
            return value * Math.pow(ratio, weight);
        }
    }
}
