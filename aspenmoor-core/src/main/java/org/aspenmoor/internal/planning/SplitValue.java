package org.aspenmoor.internal.planning;

import java.util.List;

/**
 * The value of a transition to a split, in weighted completed requests: the goodput until the expected end of the
 * present mix, minus the price of the changes, plus the {@link ContinuationValue} of the split.
 *
 * <p>The goodput is also calculated for a demand above and below the mean by its statistical error, so that a split
 * which is good only for exactly the mean is not preferred.
 */
final class SplitValue {
    private static final double STANDARD_DEVIATIONS = 1.2;

    private final TransitionCost transitionCost;
    private final RoleSplit current;
    private final ContinuationValue continuation;
    private final double currentMixSeconds;
    private final List<KindDemand> meanDemands;
    private final List<KindDemand> higherDemands;
    private final List<KindDemand> lowerDemands;

    SplitValue(
            TransitionCost transitionCost,
            RoleSplit current,
            MixPeriod period,
            double currentMixSeconds,
            ContinuationValue continuation) {
        this.transitionCost = transitionCost;
        this.current = current;
        this.continuation = continuation;
        this.currentMixSeconds = currentMixSeconds;
        this.meanDemands = period.demands();
        this.higherDemands = shifted(period, STANDARD_DEVIATIONS);
        this.lowerDemands = shifted(period, -STANDARD_DEVIATIONS);
    }

    double valueOf(RoleSplit split) {
        double goodput = (2 * transitionCost.goodput(current, split, meanDemands, currentMixSeconds)
                        + transitionCost.goodput(current, split, higherDemands, currentMixSeconds)
                        + transitionCost.goodput(current, split, lowerDemands, currentMixSeconds))
                / 4;
        return goodput - transitionCost.price(current, split) + continuation.valueOf(split);
    }

    private static List<KindDemand> shifted(MixPeriod period, double deviations) {
        return period.demands().stream()
                .map(demand -> {
                    double countedRequests = Math.max(1, demand.requestsPerSecond() * period.countedSeconds());
                    return demand.scaled(Math.max(0, 1 + deviations / Math.sqrt(countedRequests)));
                })
                .toList();
    }
}
