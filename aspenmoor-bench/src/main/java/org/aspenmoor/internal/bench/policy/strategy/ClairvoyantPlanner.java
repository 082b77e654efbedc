package org.aspenmoor.internal.bench.policy.strategy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.planning.GoodputModel;
import org.aspenmoor.internal.planning.KindDemand;
import org.aspenmoor.internal.planning.RoleSplit;

/**
 * Plans with the whole trace known: dynamic programming over splits and steps of time.
 *
 * <p>The value of a way through time is the modelled goodput of each step, less the price of each change; while engines
 * are away, those that stay work alone.
 */
final class ClairvoyantPlanner {
    private final GoodputModel model;
    private final List<List<KindDemand>> demands;
    private final double stepSeconds;
    private final int awaySteps;
    private final double price;

    ClairvoyantPlanner(
            GoodputModel model, List<List<KindDemand>> demands, double stepSeconds, double awaySeconds, double price) {
        this.model = model;
        this.demands = demands;
        this.stepSeconds = stepSeconds;
        this.awaySteps = Math.max(1, (int) Math.ceil(awaySeconds / stepSeconds));
        this.price = price;
    }

    /** Returns, for each step and each split one may be in then, the split to move to. */
    List<Map<RoleSplit, RoleSplit>> plan(int engines) {
        List<RoleSplit> splits = splits(engines);
        int steps = demands.size();
        List<Map<RoleSplit, RoleSplit>> moves = new ArrayList<>();
        List<Map<RoleSplit, Double>> worth = new ArrayList<>();
        for (int step = 0; step <= steps; step++) {
            moves.add(new HashMap<>());
            worth.add(new HashMap<>());
        }
        splits.forEach(split -> worth.get(steps).put(split, 0.0));
        for (int step = steps - 1; step >= 0; step--) {
            Map<RoleSplit, Double> goodput = new HashMap<>();
            for (RoleSplit from : splits) {
                RoleSplit best = from;
                double bestWorth = Double.NEGATIVE_INFINITY;
                for (RoleSplit to : splits) {
                    double value = value(from, to, step, worth, goodput);
                    if (value > bestWorth || (value == bestWorth && to.equals(from))) {
                        best = to;
                        bestWorth = value;
                    }
                }
                moves.get(step).put(from, best);
                worth.get(step).put(from, bestWorth);
            }
        }
        return moves;
    }

    private double value(
            RoleSplit from,
            RoleSplit to,
            int step,
            List<Map<RoleSplit, Double>> worth,
            Map<RoleSplit, Double> goodput) {
        RoleSplit during = from.duringChangeTo(to);
        if (!from.equals(to) && !during.servesBothStages()) {
            return Double.NEGATIVE_INFINITY;
        }
        int next = Math.min(demands.size(), step + (from.equals(to) ? 1 : awaySteps));
        double value = worth.get(next).get(to) - price * from.changesTo(to);
        for (int passed = step; passed < next; passed++) {
            value += passed == step
                    ? goodput.computeIfAbsent(during, split -> goodput(split, step))
                    : goodput(during, passed);
        }
        return value;
    }

    private double goodput(RoleSplit split, int step) {
        return stepSeconds * model.goodputPerSecond(split, demands.get(step));
    }

    private static List<RoleSplit> splits(int engines) {
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
