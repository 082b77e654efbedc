package org.aspenmoor.internal.bench.policy.jmh;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.planning.EngineAvailability;
import org.aspenmoor.internal.planning.KindCount;
import org.aspenmoor.internal.planning.KindObjective;
import org.aspenmoor.internal.planning.PlannedEngine;
import org.aspenmoor.internal.planning.PlannerSettings;
import org.aspenmoor.internal.planning.PlanningInput;
import org.aspenmoor.internal.planning.RoleChangeCosts;
import org.aspenmoor.internal.planning.RolePlan;
import org.aspenmoor.internal.planning.RolePlanner;
import org.aspenmoor.internal.planning.WorkCounts;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Cost of one planning round with ten kinds, three minutes of counts and a mix that alternates every half minute. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MILLISECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class PlanningBenchmark {
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;
    private static final int COUNTED_SECONDS = 180;
    private static final int SWING_SECONDS = 30;
    private static final int KINDS = 10;

    /** Number of engines. */
    @Param({"8", "200", "1800"})
    private int engines;

    private RolePlanner planner;
    private PlanningInput input;
    private long now;

    /** Feeds three minutes of counts and plans every second. */
    @Setup
    public void setUp() {
        planner = new RolePlanner(PlannerSettings.defaults());
        List<PlannedEngine> planned = new ArrayList<>();
        for (int index = 0; index < engines; index++) {
            EngineRole role = index % 2 == 0 ? EngineRole.PREFILL : EngineRole.DECODE;
            planned.add(new PlannedEngine("engine-" + index, role, new EngineAvailability.Available(), 8));
        }
        List<KindObjective> kinds = new ArrayList<>();
        for (int kind = 0; kind < KINDS; kind++) {
            kinds.add(new KindObjective("kind-" + kind, 1 + kind, 20));
        }
        input = new PlanningInput(planned, kinds, new RoleChangeCosts(3, 0.3, 5));
        for (int second = 0; second < COUNTED_SECONDS; second++) {
            planner.observe(counts(second));
            now = (second + 1) * NANOSECONDS_PER_SECOND + NANOSECONDS_PER_SECOND / 2;
            planner.plan(input, now);
        }
    }

    /** Runs one planning round. */
    @Benchmark
    public RolePlan plan() {
        return planner.plan(input, now);
    }

    private WorkCounts counts(int second) {
        boolean promptPhase = second / SWING_SECONDS % 2 == 0;
        List<KindCount> counts = new ArrayList<>();
        for (int kind = 0; kind < KINDS; kind++) {
            boolean promptHeavy = kind % 2 == 0;
            int requests = engines / 4 * (promptHeavy == promptPhase ? 4 : 1) / KINDS + 1;
            counts.add(new KindCount(
                    "kind-" + kind, requests, requests * (promptHeavy ? 3_000L : 500L), requests * 200L, 0));
        }
        return new WorkCounts(
                "entry", second, second * NANOSECONDS_PER_SECOND, (second + 1) * NANOSECONDS_PER_SECOND, counts);
    }
}
