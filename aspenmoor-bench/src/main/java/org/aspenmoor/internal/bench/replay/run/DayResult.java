package org.aspenmoor.internal.bench.replay.run;

import java.util.List;

/**
 * What a replayed day came to.
 *
 * @param day its name
 * @param seed what it was drawn by
 * @param earned part of what all callers were worth that was earned
 * @param served part of the callers that got an answer
 * @param nines the unserved part on a logarithmic scale: 0 for all, 1 for a thousandth
 * @param worstWindows part earned in the two worst windows
 * @param worstKind part earned by the worst kind or size
 * @param refusedAfter median of the seconds after which refused callers heard so
 * @param kinds by kind
 * @param points by second
 */
public record DayResult(
        String day,
        long seed,
        double earned,
        double served,
        double nines,
        double worstWindows,
        double worstKind,
        double refusedAfter,
        List<KindResult> kinds,
        List<DayPoint> points) {}
