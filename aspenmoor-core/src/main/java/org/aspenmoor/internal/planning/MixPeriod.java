package org.aspenmoor.internal.planning;

import java.util.List;

/**
 * A period in which the mix of request kinds did not change.
 *
 * @param firstSecond the first second of the period, on the monotonic clock
 * @param seconds the duration
 * @param countedSeconds the number of these seconds in which the demand was counted
 * @param demands the demand of each kind, sorted by falling weight
 * @param bestSplit the split with the greatest goodput, regardless of transition costs
 */
record MixPeriod(
        long firstSecond, double seconds, double countedSeconds, List<KindDemand> demands, RoleSplit bestSplit) {
    MixPeriod {
        demands = List.copyOf(demands);
    }

    /** Returns the fraction of prefill in the engine-seconds of the demand, 0 to 1. */
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
