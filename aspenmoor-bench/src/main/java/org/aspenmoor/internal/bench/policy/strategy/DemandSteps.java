package org.aspenmoor.internal.bench.policy.strategy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.bench.policy.fleet.Fleet;
import org.aspenmoor.internal.bench.policy.fleet.TraceKind;
import org.aspenmoor.internal.bench.policy.trace.Trace;
import org.aspenmoor.internal.bench.policy.trace.TraceRequest;
import org.aspenmoor.internal.planning.GoodputModel;
import org.aspenmoor.internal.planning.KindDemand;
import org.aspenmoor.internal.planning.KindObjective;

/** Demand of a trace in time steps. */
final class DemandSteps {
    private static final double CACHED_PREFIX_FRACTION = 0.8;

    private DemandSteps() {}

    /** Returns the demand of each time step, averaged over a number of steps before and after it. */
    static List<List<KindDemand>> of(
            Fleet fleet, Trace trace, GoodputModel model, double stepSeconds, int smoothingSteps) {
        int steps = (int) Math.ceil(trace.lengthSeconds() / stepSeconds) + 1;
        List<Map<String, double[]>> sums = new ArrayList<>();
        for (int step = 0; step < steps; step++) {
            sums.add(new HashMap<>());
        }
        for (TraceRequest request : trace.requests()) {
            int step = (int) (request.arrivalSeconds() / stepSeconds);
            double[] sum = sums.get(step).computeIfAbsent(request.kind(), kind -> new double[3]);
            sum[0]++;
            sum[1] += request.promptTokens() - CACHED_PREFIX_FRACTION * request.prefixTokens();
            sum[2] += request.outputTokens();
        }
        List<List<KindDemand>> demands = new ArrayList<>();
        for (int step = 0; step < steps; step++) {
            int from = Math.max(0, step - smoothingSteps);
            int to = Math.min(steps, step + smoothingSteps + 1);
            demands.add(demand(fleet, model, sums.subList(from, to), stepSeconds));
        }
        return demands;
    }

    private static List<KindDemand> demand(
            Fleet fleet, GoodputModel model, List<Map<String, double[]>> sums, double stepSeconds) {
        List<KindDemand> demands = new ArrayList<>();
        for (TraceKind kind : fleet.kinds()) {
            double[] total = new double[3];
            for (Map<String, double[]> sum : sums) {
                double[] kindSum = sum.getOrDefault(kind.declaration().name(), new double[3]);
                total[0] += kindSum[0];
                total[1] += kindSum[1];
                total[2] += kindSum[2];
            }
            if (total[0] > 0) {
                KindObjective weight = new KindObjective(
                        kind.declaration().name(),
                        kind.declaration().weight(),
                        kind.declaration().deadline().toMillis() / 1000.0);
                demands.add(model.demand(
                        weight, total[0] / (sums.size() * stepSeconds), total[1] / total[0], total[2] / total[0]));
            }
        }
        demands.sort(Comparator.comparingDouble(KindDemand::weight).reversed());
        return demands;
    }
}
