package org.aspenmoor.internal.planning;

import java.util.List;

/**
 * The expected workload.
 *
 * @param currentPeriod the present mix and its demand
 * @param remainingSeconds the expected remaining duration of the present mix
 * @param continuationSeconds how far to look ahead after the present mix; at most as far as the history reaches back
 * @param minGainFraction the minimum gain of a change, as a fraction of the present goodput
 * @param pastPeriods the previous mixes, which may recur
 */
record WorkloadForecast(
        MixPeriod currentPeriod,
        double remainingSeconds,
        double continuationSeconds,
        double minGainFraction,
        List<MixPeriod> pastPeriods) {
    WorkloadForecast {
        pastPeriods = List.copyOf(pastPeriods);
    }
}
