package org.aspenmoor.internal.rollout;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.aspenmoor.internal.document.AdapterDeclaration;
import org.aspenmoor.internal.document.ModelDeclaration;
import org.aspenmoor.internal.document.ServiceDocument;
import org.aspenmoor.internal.engine.EngineOrder;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RolloutPolicyTest {
    private static final double LOADS_PER_SECOND = 0.5;
    private static final double LOAD_BURST = 2;

    @DataProvider
    public Object[][] seeds() {
        List<Object[]> seeds = new ArrayList<>();
        for (int seed = 1; seed <= 40; seed++) {
            seeds.add(new Object[] {seed});
        }
        return seeds.toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void should_keep_streams_and_the_service_running_when_a_rollout_is_rolled_back(int seed) {
        // Streams start and end at random, engines become unreachable and reachable, a new planner takes over at each
        // step, and the version is rolled back before all engines have it. A fault would cut a stream, or refuse
        // requests because all engines are loading at once.
        Rollout rollout = new Rollout(2 + seed % 7, seed);

        rollout.failuresEnabled = true;
        rollout.run(document("4", "1"), 5 + seed % 20);
        rollout.run(document("3", "1"), 5);
        rollout.stopFailures();
        rollout.runUntilDone(document("4", "2"));

        assertTrue(rollout.maxLoadsInTenSeconds <= LOAD_BURST + 10 * LOADS_PER_SECOND);
    }

    @Test
    public void should_hold_the_engine_when_no_other_engine_serves_the_model() {
        Rollout rollout = new Rollout(1, 3);

        List<RolloutDecision> decisions = rollout.decide(document("4", "1"));

        assertEquals(decisions, List.of(new RolloutDecision.Hold("e0", "no other engine serves m now")));
    }

    @Test
    public void should_stop_the_rollout_when_a_version_cannot_be_loaded() {
        // The weight store has a version that cannot be loaded. If the rollout continued, each engine in turn would
        // lose the model.
        Rollout rollout = new Rollout(8, 9);
        rollout.unloadableItems = Set.of("m@4");

        rollout.run(document("4", "1"), 300);

        assertTrue(rollout.engines.stream().filter(SimulatedEngine::isServing).count() >= 6);
        rollout.runUntilDone(document("3", "1"));
    }

    @Test
    public void should_hold_other_engines_when_a_version_failed_to_load() {
        RolloutEngine failed = new RolloutEngine("a", EngineAvailability.DRAINING, Set.of(), 0, Optional.of("m@4"));
        RolloutPolicy policy = new RolloutPolicy(new RolloutLimits(2), new LoadBudget(new ManualTimeSource(), 1, 5));

        List<RolloutDecision> decisions = policy.decide(
                document(List.of(new ModelDeclaration("m", "4", List.of()))),
                List.of(failed, engine("b", "m@3"), engine("c", "m@3")));

        String reason = "m@4 failed to load on another engine and is loaded on no engine";
        assertEquals(
                decisions,
                List.of(
                        new RolloutDecision.SendOrder("a", new EngineOrder.LoadModel("m", "4")),
                        new RolloutDecision.Hold("b", reason),
                        new RolloutDecision.Hold("c", reason)));
    }

    @Test
    public void should_unload_an_adapter_when_it_is_no_longer_declared() {
        Rollout rollout = new Rollout(3, 5);
        ServiceDocument without = document(List.of(new ModelDeclaration("m", "3", List.of())));

        rollout.runUntilDone(without);

        assertTrue(
                rollout.snapshots().stream().allMatch(engine -> engine.loaded().equals(Set.of("m@3"))));
    }

    @Test
    public void should_complete_the_rollout_when_an_engine_becomes_unreachable() {
        Rollout rollout = new Rollout(4, 13);
        rollout.run(document("4", "1"), 8);
        rollout.engines.getLast().disconnect();

        rollout.runUntilDone(document("4", "1"));
    }

    @Test
    public void should_keep_the_version_of_a_stream_when_two_versions_are_loaded() {
        RolloutEngine old = engine("a", "m@3");
        RolloutEngine current = engine("b", "m@4");
        VersionCandidates candidates = new VersionCandidates(List.of(old, current));

        assertEquals(candidates.forStartedStream("m", "3"), List.of(old));
        assertEquals(candidates.forNewRequest(new ModelDeclaration("m", "4", List.of())), List.of(current, old));
    }

    private static RolloutEngine engine(String name, String loaded) {
        return new RolloutEngine(name, EngineAvailability.SERVING, Set.of(loaded), 0, Optional.empty());
    }

    private static ServiceDocument document(String model, String adapter) {
        return document(List.of(new ModelDeclaration("m", model, List.of(new AdapterDeclaration("a", adapter)))));
    }

    private static ServiceDocument document(List<ModelDeclaration> models) {
        return new ServiceDocument("t", "s", 1, models, List.of(), 0, List.of(), List.of());
    }

    /** Executes rollout decisions on simulated engines and checks the invariants after each step. */
    private static final class Rollout {
        private static final int MAX_STEPS = 2000;
        private static final int WINDOW_STEPS = 10;

        private final ManualTimeSource timeSource = new ManualTimeSource();
        private final Random random;
        private final List<SimulatedEngine> engines = new ArrayList<>();
        private final LoadBudget budget = new LoadBudget(timeSource, LOADS_PER_SECOND, LOAD_BURST);
        private final List<Integer> loadsPerStep = new ArrayList<>();
        private Set<String> unloadableItems = Set.of();
        private boolean failuresEnabled;
        private int maxLoadsInTenSeconds;

        Rollout(int count, int seed) {
            random = new Random(seed);
            for (int index = 0; index < count; index++) {
                engines.add(new SimulatedEngine("e" + index, Set.of("m@3", "m:a@1")));
            }
        }

        List<RolloutEngine> snapshots() {
            return engines.stream().map(SimulatedEngine::snapshot).toList();
        }

        List<RolloutDecision> decide(ServiceDocument document) {
            // A new policy in each step simulates a planner that has just taken over.
            RolloutPolicy policy = new RolloutPolicy(RolloutLimits.forEngines(engines.size()), budget);
            return policy.decide(document, snapshots());
        }

        void run(ServiceDocument document, int steps) {
            for (int step = 0; step < steps; step++) {
                step(document);
            }
        }

        void runUntilDone(ServiceDocument document) {
            for (int step = 0; step < MAX_STEPS; step++) {
                step(document);
                if (isDone(document)) {
                    return;
                }
            }
            throw new AssertionError("rollout not complete after " + MAX_STEPS + " steps: " + snapshots());
        }

        /**
         * Disables failures and reconnects all engines, because a single remaining engine would be held indefinitely.
         */
        void stopFailures() {
            failuresEnabled = false;
            engines.stream()
                    .filter(engine -> engine.availability() == EngineAvailability.GONE)
                    .forEach(SimulatedEngine::toggleConnection);
        }

        private boolean isDone(ServiceDocument document) {
            DesiredLoads desired = new DesiredLoads(document);
            return engines.stream()
                    .filter(engine -> engine.availability() != EngineAvailability.GONE)
                    .allMatch(engine -> engine.isServing()
                            && desired.firstMissing(engine.snapshot().loaded()).isEmpty()
                            && desired.firstUnload(engine.snapshot().loaded()).isEmpty());
        }

        private void step(ServiceDocument document) {
            int loads = 0;
            boolean servedBefore = isServed();
            for (RolloutDecision decision : decide(document)) {
                SimulatedEngine engine = engines.stream()
                        .filter(candidate -> candidate.name().equals(decision.engine()))
                        .findFirst()
                        .orElseThrow();
                if (decision instanceof RolloutDecision.SendOrder) {
                    assertEquals(engine.streams(), 0, "an order was sent while streams run on " + engine.name());
                    loads++;
                }
                engine.execute(decision, 1 + random.nextInt(4));
            }
            countLoads(loads);
            assertTrue(isServed() || !servedBefore, "the rollout left no engine that serves the model: " + snapshots());
            engines.forEach(engine -> engine.step(unloadableItems));
            simulateEvents();
            timeSource.advance(Duration.ofSeconds(1));
        }

        private boolean isServed() {
            return snapshots().stream()
                    .anyMatch(engine -> engine.hasAvailability(EngineAvailability.SERVING) && engine.holdsModel("m"));
        }

        private void countLoads(int loads) {
            loadsPerStep.add(loads);
            int from = Math.max(0, loadsPerStep.size() - WINDOW_STEPS);
            int recent = loadsPerStep.subList(from, loadsPerStep.size()).stream()
                    .mapToInt(Integer::intValue)
                    .sum();
            maxLoadsInTenSeconds = Math.max(maxLoadsInTenSeconds, recent);
        }

        private void simulateEvents() {
            for (SimulatedEngine engine : engines) {
                if (failuresEnabled && random.nextInt(20) == 0) {
                    engine.toggleConnection();
                }
                if (engine.isServing() && random.nextInt(3) == 0) {
                    engine.startStream();
                }
                if (random.nextInt(2) == 0) {
                    engine.endStream();
                }
            }
        }
    }
}
