package org.aspenmoor.internal.planning;

import java.util.List;

/**
 * The expected value of a split after the present mix has ended, in weighted completed requests.
 *
 * <p>Past mixes are expected to recur unchanged. The planner can then either keep the split or adapt it to each mix.
 * The value of adapting differs between splits only by the first transition, so a change now is charged with the
 * transition back only. If it were charged with the rest of the horizon, a planner that has observed one mix for a
 * long time would never change.
 */
final class ContinuationValue {
    private static final double DETECTION_SECONDS = 2;
    private static final int MIN_PAST_PERIODS = 2;

    private final GoodputModel model;
    private final TransitionCost transitionCost;
    private final List<MixPeriod> pastPeriods;
    private final double seconds;
    private final double adaptiveGoodputPerSecond;
    private double pastSeconds;

    ContinuationValue(GoodputModel model, TransitionCost transitionCost, List<MixPeriod> pastPeriods, double seconds) {
        this.model = model;
        this.transitionCost = transitionCost;
        this.pastPeriods = pastPeriods;
        this.seconds = seconds;
        for (MixPeriod period : pastPeriods) {
            pastSeconds += period.seconds();
        }
        this.adaptiveGoodputPerSecond = pastPeriods.isEmpty() ? 0 : adaptiveGoodput() / pastSeconds;
    }

    /** Returns the value of the split; 0 while too few past mixes are known. */
    double valueOf(RoleSplit split) {
        if (pastPeriods.size() < MIN_PAST_PERIODS) {
            return 0;
        }
        double fixedGoodputPerSecond = 0;
        double firstTransitionLoss = 0;
        for (int index = 0; index < pastPeriods.size(); index++) {
            MixPeriod period = pastPeriods.get(index);
            double fraction = period.seconds() / pastSeconds;
            fixedGoodputPerSecond += fraction * model.goodputPerSecond(split, period.demands());
            firstTransitionLoss += transitionLoss(split, period.bestSplit(), period) / pastPeriods.size();
        }
        return Math.max(fixedGoodputPerSecond * seconds, adaptiveGoodputPerSecond * seconds - firstTransitionLoss);
    }

    private double adaptiveGoodput() {
        double sum = 0;
        for (int index = 0; index < pastPeriods.size(); index++) {
            MixPeriod period = pastPeriods.get(index);
            RoleSplit previous = pastPeriods
                    .get(index == 0 ? pastPeriods.size() - 1 : index - 1)
                    .bestSplit();
            double goodput = model.goodputPerSecond(period.bestSplit(), period.demands()) * period.seconds();
            sum += goodput - transitionLoss(previous, period.bestSplit(), period);
        }
        return sum;
    }

    private double transitionLoss(RoleSplit from, RoleSplit to, MixPeriod period) {
        if (from.equals(to)) {
            return 0;
        }
        double targetGoodputPerSecond = model.goodputPerSecond(to, period.demands());
        double undetectedSeconds = Math.min(DETECTION_SECONDS, period.seconds());
        double transitionSeconds = Math.min(transitionCost.transitionSeconds(), period.seconds() - undetectedSeconds);
        return (targetGoodputPerSecond - model.goodputPerSecond(from, period.demands())) * undetectedSeconds
                + (targetGoodputPerSecond - model.goodputPerSecond(from.duringChangeTo(to), period.demands()))
                        * transitionSeconds
                + transitionCost.price(from, to);
    }
}
