package org.aspenmoor.internal.bench.policy.strategy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.planning.GoodputModel;
import org.aspenmoor.internal.planning.KindDemand;
import org.aspenmoor.internal.planning.RoleSplit;

/**
 * Plans roles with knowledge of the whole trace, by dynamic programming over role splits and time steps.
 *
 * <p>The value of a sequence of splits is the modelled goodput of all steps less the price of all role changes. While
 * engines are away for a change, only the others contribute goodput.
 */
final class ClairvoyantPlanner {
    private final GoodputModel model;
    private final List<List<KindDemand>> demands;
    private final double stepSeconds;
    private final int awaySteps;
    private final double roleChangePrice;

    ClairvoyantPlanner(
            GoodputModel model,
            List<List<KindDemand>> demands,
            double stepSeconds,
            double awaySeconds,
            double roleChangePrice) {
        this.model = model;
        this.demands = demands;
        this.stepSeconds = stepSeconds;
        this.awaySteps = Math.max(1, (int) Math.ceil(awaySeconds / stepSeconds));
        this.roleChangePrice = roleChangePrice;
    }

    /** Returns, for each time step and each possible current split, the split to change to. */
    List<Map<RoleSplit, RoleSplit>> plan(int engines) {
        List<RoleSplit> splits = allSplits(engines);
        int steps = demands.size();
        List<Map<RoleSplit, RoleSplit>> nextSplits = new ArrayList<>();
        List<Map<RoleSplit, Double>> bestValues = new ArrayList<>();
        for (int step = 0; step <= steps; step++) {
            nextSplits.add(new HashMap<>());
            bestValues.add(new HashMap<>());
        }
        splits.forEach(split -> bestValues.get(steps).put(split, 0.0));
        for (int step = steps - 1; step >= 0; step--) {
            Map<RoleSplit, Double> goodput = new HashMap<>();
            for (RoleSplit from : splits) {
                RoleSplit best = from;
                double bestValue = Double.NEGATIVE_INFINITY;
                for (RoleSplit to : splits) {
                    double value = valueOfChange(from, to, step, bestValues, goodput);
                    if (value > bestValue || (value == bestValue && to.equals(from))) {
                        best = to;
                        bestValue = value;
                    }
                }
                nextSplits.get(step).put(from, best);
                bestValues.get(step).put(from, bestValue);
            }
        }
        return nextSplits;
    }

    private double valueOfChange(
            RoleSplit from,
            RoleSplit to,
            int step,
            List<Map<RoleSplit, Double>> bestValues,
            Map<RoleSplit, Double> goodput) {
        RoleSplit during = from.duringChangeTo(to);
        if (!from.equals(to) && !during.servesBothStages()) {
            return Double.NEGATIVE_INFINITY;
        }
        int next = Math.min(demands.size(), step + (from.equals(to) ? 1 : awaySteps));
        double value = bestValues.get(next).get(to) - roleChangePrice * from.changesTo(to);
        for (int current = step; current < next; current++) {
            value += current == step
                    ? goodput.computeIfAbsent(during, split -> goodput(split, step))
                    : goodput(during, current);
        }
        return value;
    }

    private double goodput(RoleSplit split, int step) {
        return stepSeconds * model.goodputPerSecond(split, demands.get(step));
    }

    private static List<RoleSplit> allSplits(int engines) {
        List<RoleSplit> splits = new ArrayList<>();
        for (int prefill = 0; prefill <= engines; prefill++) {
            for (int decode = 0; decode <= engines - prefill; decode++) {
                RoleSplit split = new RoleSplit(prefill, decode, engines - prefill - decode);
                if (split.servesBothStages() && split.hasNoIdleStage()) {
                    splits.add(split);
                }
            }
        }
        return splits;
    }
}
