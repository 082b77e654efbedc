package org.aspenmoor.internal.bench.policy.jmh;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.engine.EngineLoad;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.routing.CacheEvent;
import org.aspenmoor.internal.routing.PrefixChain;
import org.aspenmoor.internal.routing.Router;
import org.aspenmoor.internal.routing.RouterSettings;
import org.aspenmoor.internal.routing.RoutingDecision;
import org.aspenmoor.internal.routing.RoutingRequest;
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

/** Cost of one routing decision, including the records of its send and its end, among engines of all three roles. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class RoutingBenchmark {
    private static final String MODEL = "draft@1";
    private static final int PREFIXES = 256;
    private static final long STEP_NANOSECONDS = 1_000_000;

    /** Number of engines. */
    @Param({"8", "200", "1800"})
    private int engines;

    private Router router;
    private SplittableRandom random;
    private long now;

    /** Reports the load of every engine and a cached prefix of each. */
    @Setup
    public void setUp() {
        random = new SplittableRandom(5);
        router = new Router(RouterSettings.defaults("one"), random.split());
        for (int index = 0; index < engines; index++) {
            String name = "engine-" + index;
            EngineRole role = EngineRole.values()[index % EngineRole.values().length];
            router.addEngine(name, "one");
            EngineLoad load = new EngineLoad(1, random.nextInt(4_000), random.nextInt(24), 32, 96, 96);
            router.applyReport(name, load, role, true, Set.of(MODEL), Duration.ZERO, 0);
            router.applyCacheEvent(name, 1, new CacheEvent.Stored(List.of((long) index % PREFIXES)));
        }
    }

    /** Chooses an engine, then records the send and the end of the request. */
    @Benchmark
    public Optional<RoutingDecision> decide() {
        now += STEP_NANOSECONDS;
        RoutingRequest request = new RoutingRequest(
                new RequestId(random.nextLong(), random.nextLong()),
                MODEL,
                Optional.empty(),
                1_500,
                PrefixChain.of(1_000, random.nextInt(PREFIXES)),
                100,
                1,
                Long.MAX_VALUE,
                "one");
        Optional<RoutingDecision> decision = router.choose(request, backend -> true, now);
        router.recordSent(request, decision.orElseThrow(), now);
        router.recordEnded(request.id(), now);
        return decision;
    }
}
