package org.aspenmoor.internal.bench.replay.run;

import java.util.List;

/**
 * What a replayed day came to.
 *
 * @param day its name
 * @param seed what it was drawn by
 * @param earnedFraction part of what all callers were worth that was earned
 * @param servedFraction part of the callers that got an answer
 * @param availabilityScore the unserved part on a logarithmic scale: 0 for all, 1 for a thousandth
 * @param worstWindowsFraction part earned in the two worst windows
 * @param worstKindFraction part earned by the worst kind or size
 * @param medianRefusalSeconds median of the seconds after which refused callers heard so
 * @param kinds by kind
 * @param points by second
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
