package org.aspenmoor.internal.planning;

import java.util.List;

/**
 * What moving to a split is worth, in weighted completed requests: the goodput until the present mix is expected to end,
 * less the price of the changes, plus what the split is worth after that.
 *
 * <p>The present demand is tried higher and lower by its statistical error too, so that a split that only suits the
 * exact mean does not win.
 */
final class SplitValue {
    private static final double DEVIATIONS = 1.2;

    private final MoveCost moveCost;
    private final RoleSplit current;
    private final ContinuationValue continuation;
    private final double presentSeconds;
    private final List<KindDemand> present;
    private final List<KindDemand> higher;
    private final List<KindDemand> lower;

    SplitValue(
            MoveCost moveCost,
            RoleSplit current,
            Segment segment,
            double presentSeconds,
            ContinuationValue continuation) {
        this.moveCost = moveCost;
        this.current = current;
        this.continuation = continuation;
        this.presentSeconds = presentSeconds;
        this.present = segment.demands();
        this.higher = shifted(segment, DEVIATIONS);
        this.lower = shifted(segment, -DEVIATIONS);
    }

    double of(RoleSplit split) {
        double goodput = (2 * moveCost.goodput(current, split, present, presentSeconds)
                        + moveCost.goodput(current, split, higher, presentSeconds)
                        + moveCost.goodput(current, split, lower, presentSeconds))
                / 4;
        return goodput - moveCost.price(current, split) + continuation.of(split);
    }

    private static List<KindDemand> shifted(Segment segment, double deviations) {
        return segment.demands().stream()
                .map(demand -> {
                    double counted = Math.max(1, demand.requestsPerSecond() * segment.countedSeconds());
                    return demand.scaled(Math.max(0, 1 + deviations / Math.sqrt(counted)));
                })
                .toList();
    }
}
