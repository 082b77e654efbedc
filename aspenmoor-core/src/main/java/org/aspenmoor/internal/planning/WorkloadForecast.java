package org.aspenmoor.internal.planning;

import java.util.List;

/**
 * What the planner expects.
 *
 * @param currentPeriod the present mix
 * @param remainingSeconds how long it will probably last on
 * @param continuationSeconds how far ahead beyond that to look: no further than was seen back
 * @param minGainFraction the share of the present goodput that a change must gain at least
 * @param pastPeriods the mixes that may come back after it
 */
record WorkloadForecast(
        MixPeriod currentPeriod, double remainingSeconds, double continuationSeconds, double minGainFraction, List<MixPeriod> pastPeriods) {
    WorkloadForecast {
        pastPeriods = List.copyOf(pastPeriods);
    }
}
