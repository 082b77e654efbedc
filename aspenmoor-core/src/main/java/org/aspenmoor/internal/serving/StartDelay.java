package org.aspenmoor.internal.serving;

import java.util.Optional;
import org.aspenmoor.internal.engine.EngineRole;

/**
 * How long answers of the engines with one role take to start, compared with what the settings say. Learned from every
 * answer to any entry, also from those of engines that were busy.
 *
 * <p>It is designed for engines that compute a prompt in about as long as a request may wait, so that prompts queue at
 * the engines and not at the entries. Several entries send them prompts at the same time, and an engine is hardly ever
 * idle. If entries expect a prompt to take a third of its real time, they see short queues where long ones are, prefer
 * an engine with many prompts to an idle one, and callers wait for seconds that nobody expected.
 *
 * <p>The time until an answer starts has a fixed part and a part that is proportional to the work that comes first,
 * including the request's own. Each answer corrects both in proportion to their shares of the expected time. One entry
 * of many sees few answers in the first seconds of a load, so entries report what they observe to each other.
 */
final class StartDelay {
    /** Fixed part of the time until answers have been measured, in seconds. */
    private static final double INITIAL_FIXED_SECONDS = ServerRanking.DEFAULT_FIXED_SECONDS;

    /** Minimum weight of one answer; about the last fifty count. */
    private static final double MIN_WEIGHT = 0.02;

    /** Number of answers that the initial values count for. */
    private static final int INITIAL_ANSWERS = 3;

    /** A single answer counts as at most this many times slower or faster than expected. */
    private static final double MAX_RATIO = 3;

    /** Work that takes longer than this many times what the settings say indicates stalled engines. */
    private static final double MAX_WORK_FACTOR = 10;

    /** A fixed part of less than this, in seconds, is shorter than any network takes. */
    private static final double MIN_FIXED_SECONDS = 0.001;

    /** A fixed part of more than a second is a fault, not a property of the engines. */
    private static final double MAX_FIXED_SECONDS = 1;

    private double workFactor = 1;
    private double fixedSeconds = INITIAL_FIXED_SECONDS;
    private int answers;
    private WeightedLogarithm observedWorkFactor = WeightedLogarithm.NONE;
    private WeightedLogarithm observedFixedSeconds = WeightedLogarithm.NONE;
    private int unreportedAnswers;

    /** Returns how many times longer work takes than the settings specify. */
    double workFactor() {
        return workFactor;
    }

    /** Returns the part of the time until an answer starts that does not depend on work, in seconds. */
    double fixedSeconds() {
        return fixedSeconds;
    }

    /**
     * Records the start of an answer.
     *
     * @param workSeconds the work that was expected to come first, its own included, at the present work factor
     * @param tookSeconds time from sending the request to the start of the answer
     */
    void answerStarted(double workSeconds, double tookSeconds) {
        double expectedSeconds = workSeconds + fixedSeconds;
        double ratio = Math.clamp(tookSeconds / expectedSeconds, 1 / MAX_RATIO, MAX_RATIO);
        double workShare = workSeconds / expectedSeconds;
        WeightedLogarithm work = WeightedLogarithm.of(workFactor * ratio, workShare);
        WeightedLogarithm fixed = WeightedLogarithm.of(fixedSeconds * ratio, 1 - workShare);
        observedWorkFactor = observedWorkFactor.plus(work);
        observedFixedSeconds = observedFixedSeconds.plus(fixed);
        unreportedAnswers++;
        learn(1, work, fixed);
    }

    /** Returns what was observed since the last call, to be reported to the other entries; empty if nothing was. */
    Optional<ObservedStartDelays> takeObserved(String service, EngineRole role) {
        if (unreportedAnswers == 0) {
            return Optional.empty();
        }
        ObservedStartDelays observed = new ObservedStartDelays(
                service,
                role,
                unreportedAnswers,
                observedWorkFactor.weight(),
                observedWorkFactor.mean(),
                observedFixedSeconds.weight(),
                observedFixedSeconds.mean());
        unreportedAnswers = 0;
        observedWorkFactor = WeightedLogarithm.NONE;
        observedFixedSeconds = WeightedLogarithm.NONE;
        return Optional.of(observed);
    }

    /** Learns from what another entry has observed. */
    void learnFromPeer(ObservedStartDelays peer) {
        learn(
                peer.answers(),
                WeightedLogarithm.of(limitWorkFactor(peer.workFactor()), Math.min(peer.answers(), peer.workWeight())),
                WeightedLogarithm.of(
                        limitFixedSeconds(peer.fixedSeconds()), Math.min(peer.answers(), peer.fixedWeight())));
    }

    private void learn(int newAnswers, WeightedLogarithm work, WeightedLogarithm fixed) {
        double weight = Math.max(MIN_WEIGHT, 1.0 / (INITIAL_ANSWERS + answers));
        workFactor = limitWorkFactor(work.moveTowardsMean(workFactor, weight));
        fixedSeconds = limitFixedSeconds(fixed.moveTowardsMean(fixedSeconds, weight));
        answers += newAnswers;
    }

    private static double limitWorkFactor(double factor) {
        return Math.clamp(factor, 1 / MAX_WORK_FACTOR, MAX_WORK_FACTOR);
    }

    private static double limitFixedSeconds(double seconds) {
        return Math.clamp(seconds, MIN_FIXED_SECONDS, MAX_FIXED_SECONDS);
    }

    /**
     * A weighted sum of logarithms, whose mean is a geometric one.
     *
     * @param sum the sum of the logarithms, each multiplied by its weight
     * @param weight the sum of the weights
     */
    private record WeightedLogarithm(double sum, double weight) {
        static final WeightedLogarithm NONE = new WeightedLogarithm(0, 0);

        static WeightedLogarithm of(double value, double weight) {
            return new WeightedLogarithm(weight * Math.log(value), weight);
        }

        WeightedLogarithm plus(WeightedLogarithm other) {
            return new WeightedLogarithm(sum + other.sum, weight + other.weight);
        }

        double mean() {
            return weight == 0 ? 1 : Math.exp(sum / weight);
        }

        /** Moves a value towards the mean as if each unit of weight were an observation of its own. */
        double moveTowardsMean(double value, double weightOfOne) {
            return value * Math.pow(mean() / value, 1 - Math.pow(1 - weightOfOne, weight));
        }
    }
}
