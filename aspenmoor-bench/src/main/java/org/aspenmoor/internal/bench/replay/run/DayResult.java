package org.aspenmoor.internal.bench.replay.run;

import java.util.List;

/**
 * Result of a replayed day.
 *
 * @param day name of the day
 * @param seed random seed of the replay
 * @param earnedFraction fraction of the value of all callers that was earned
 * @param servedFraction fraction of the callers that received a complete answer
 * @param availabilityScore unserved fraction on a logarithmic scale: 0 if all are unserved, 1 for a thousandth or less
 * @param worstWindowsFraction mean fraction of the value earned in the two worst windows
 * @param worstKindFraction fraction of the value earned by the worst kind or size class of a kind
 * @param medianRefusalSeconds median time from the first attempt of a refused caller to its final refusal
 * @param kinds results by request kind
 * @param points time series, one point per second
 */
public record DayResult(
        String day,
        long seed,
        double earnedFraction,
        double servedFraction,
        double availabilityScore,
        double worstWindowsFraction,
        double worstKindFraction,
        double medianRefusalSeconds,
        List<KindResult> kinds,
        List<DayPoint> points) {}
