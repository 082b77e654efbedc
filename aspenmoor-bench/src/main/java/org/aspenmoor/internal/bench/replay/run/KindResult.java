package org.aspenmoor.internal.bench.replay.run;

/**
 * How one kind of request fared.
 *
 * @param kind its name
 * @param callers how many callers asked
 * @param earnedFraction part of what they were worth that was earned
 * @param onTimeFraction part that got an answer on time
 * @param servedFraction part that got an answer
 * @param refusedFraction part that was refused
 * @param failedFraction part that got nothing whole
 * @param largestServedFraction part of the largest tenth that got an answer
 */
public record KindResult(
        String kind,
        int callers,
        double earnedFraction,
        double onTimeFraction,
        double servedFraction,
        double refusedFraction,
        double failedFraction,
        double largestServedFraction) {}
