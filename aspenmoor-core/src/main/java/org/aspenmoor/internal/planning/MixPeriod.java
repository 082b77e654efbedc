package org.aspenmoor.internal.planning;

import java.util.List;

/**
 * A stretch of time over which the mix did not change.
 *
 * @param firstSecond the first second of it
 * @param seconds how long it is
 * @param countedSeconds over how many of these seconds the demand was counted
 * @param demands its demand, by falling weight
 * @param bestSplit the split that suits it best, costs aside
 */
record MixPeriod(long firstSecond, double seconds, double countedSeconds, List<KindDemand> demands, RoleSplit bestSplit) {
    MixPeriod {
        demands = List.copyOf(demands);
    }

    /** Returns the share of prefill in the work. */
    double prefillFraction() {
        double prefill = 0;
        double work = 0;
        for (KindDemand demand : demands) {
            prefill += demand.requestsPerSecond() * demand.prefillSeconds();
            work += demand.requestsPerSecond() * (demand.prefillSeconds() + demand.decodeSeconds());
        }
        return work > 0 ? prefill / work : 0;
    }
}
