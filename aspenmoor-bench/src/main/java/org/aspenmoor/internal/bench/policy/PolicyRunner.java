package org.aspenmoor.internal.bench.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntFunction;
import org.aspenmoor.internal.bench.policy.fleet.EngineParameters;
import org.aspenmoor.internal.bench.policy.fleet.Fleet;
import org.aspenmoor.internal.bench.policy.run.Policy;
import org.aspenmoor.internal.bench.policy.run.PolicyRun;
import org.aspenmoor.internal.bench.policy.run.RunResult;
import org.aspenmoor.internal.bench.policy.strategy.BaselineRouting;
import org.aspenmoor.internal.bench.policy.strategy.ClairvoyantStrategy;
import org.aspenmoor.internal.bench.policy.strategy.FixedSplit;
import org.aspenmoor.internal.bench.policy.strategy.PlannerStrategy;
import org.aspenmoor.internal.bench.policy.strategy.PlanningStrategy;
import org.aspenmoor.internal.bench.policy.strategy.RouterStrategy;
import org.aspenmoor.internal.bench.policy.strategy.RoutingStrategy;
import org.aspenmoor.internal.bench.policy.strategy.ThresholdRule;
import org.aspenmoor.internal.bench.policy.trace.Trace;
import org.aspenmoor.internal.planning.PlannerSettings;
import org.aspenmoor.internal.planning.RolePlanner;
import org.aspenmoor.internal.planning.RoleSplit;
import org.aspenmoor.internal.routing.Router;
import org.aspenmoor.internal.routing.RouterSettings;

/** Runs a trace on a fleet under any of the policies. */
public final class PolicyRunner {
    private static final int SMOOTHING_STEPS = 4;
    private static final double[] CLAIRVOYANT_UTILISATIONS = {0.85, 0.95};

    private final Fleet fleet;
    private final Trace trace;
    private final long seed;
    private final RoleSplit initialSplit;
    private List<RunResult> fixedSplitResults = List.of();

    public PolicyRunner(Fleet fleet, Trace trace, long seed) {
        this.fleet = fleet;
        this.trace = trace;
        this.seed = seed;
        int prefill = fleet.engines().size() / 2;
        this.initialSplit = new RoleSplit(prefill, fleet.engines().size() - prefill, 0);
    }

    /** Runs one policy. */
    public RunResult run(PolicyName name) {
        RunResult result = switch (name) {
            case ASPENMOOR -> run(planner(), this::router);
            case BEST_FIXED_PAIR -> bestFixedSplit(false);
            case BEST_FIXED -> bestFixedSplit(true);
            case THRESHOLD -> run(new ThresholdRule(initialSplit), this::router);
            case ROUND_ROBIN -> run(planner(), entry -> baseline(false));
            case LEAST_REPORTED_LOAD -> run(planner(), entry -> baseline(true));
            case CLAIRVOYANT -> bestClairvoyant();
        };
        return result.withPolicyName(name.label());
    }

    private RunResult run(PlanningStrategy planning, IntFunction<RoutingStrategy> routing) {
        return new PolicyRun(fleet, trace, new Policy("", planning, routing), new SplittableRandom(seed)).run();
    }

    private PlanningStrategy planner() {
        return new PlannerStrategy(
                new RolePlanner(plannerSettings(PlannerSettings.defaults().utilisation())), initialSplit);
    }

    private RoutingStrategy router(int entry) {
        return new RouterStrategy(new Router(routerSettings(), new SplittableRandom(seed * 31 + entry)));
    }

    private RoutingStrategy baseline(boolean byLeastLoad) {
        return new BaselineRouting(byLeastLoad, fleet.parameters().speed());
    }

    private RunResult bestFixedSplit(boolean allowWhole) {
        return runFixedSplits().stream()
                .filter(run -> allowWhole || run.timeline().stream().allMatch(point -> point.wholeEngines() == 0))
                .max(Comparator.comparingDouble(RunResult::weightedGoodput))
                .orElseThrow();
    }

    private List<RunResult> runFixedSplits() {
        if (fixedSplitResults.isEmpty()) {
            List<RunResult> runs = new ArrayList<>();
            int engines = fleet.engines().size();
            for (int wholeEngines : new int[] {0, engines / 4, engines}) {
                int pairedEngines = engines - wholeEngines;
                for (int prefill = pairedEngines == 0 ? 0 : 1; prefill < Math.max(1, pairedEngines); prefill++) {
                    RoleSplit split = new RoleSplit(prefill, pairedEngines - prefill, wholeEngines);
                    if (split.servesBothStages()) {
                        runs.add(run(new FixedSplit(split), this::router));
                    }
                }
            }
            fixedSplitResults = runs;
        }
        return fixedSplitResults;
    }

    private RunResult bestClairvoyant() {
        List<RunResult> runs = new ArrayList<>(runFixedSplits());
        for (double utilisation : CLAIRVOYANT_UTILISATIONS) {
            PlanningStrategy planning =
                    new ClairvoyantStrategy(fleet, trace, plannerSettings(utilisation), SMOOTHING_STEPS, initialSplit);
            runs.add(run(planning, this::router));
        }
        return runs.stream()
                .max(Comparator.comparingDouble(run -> run.goodputLessRoleChanges(fleet.roleChangePrice())))
                .orElseThrow();
    }

    private PlannerSettings plannerSettings(double utilisation) {
        PlannerSettings defaults = PlannerSettings.defaults();
        EngineParameters parameters = fleet.parameters();
        return new PlannerSettings(
                parameters.speed(),
                parameters.maxSequences(),
                utilisation,
                defaults.horizonSeconds(),
                defaults.maxUnavailableFraction(),
                defaults.staleSeconds());
    }

    private RouterSettings routerSettings() {
        RouterSettings defaults =
                RouterSettings.defaults(fleet.engines().getFirst().dataCentre());
        return new RouterSettings(
                fleet.parameters().speed(),
                defaults.dataCentre(),
                defaults.remoteLatencySeconds(),
                defaults.sampledCandidates(),
                defaults.adapterLoadSeconds(),
                defaults.maxIndexedBlocks(),
                fleet.parameters().pieceTokens());
    }
}
