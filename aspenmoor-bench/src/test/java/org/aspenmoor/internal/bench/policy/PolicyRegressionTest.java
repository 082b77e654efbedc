package org.aspenmoor.internal.bench.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.aspenmoor.internal.bench.policy.fleet.BuiltInFleets;
import org.aspenmoor.internal.bench.policy.fleet.Fleet;
import org.aspenmoor.internal.bench.policy.run.RunResult;
import org.aspenmoor.internal.bench.policy.trace.BuiltInTrace;
import org.aspenmoor.internal.bench.policy.trace.TraceGenerator;
import org.testng.annotations.Test;

/**
 * Checks bounds somewhat below the results in docs/POLICY.md, so that a change that worsens the decisions is detected.
 */
public class PolicyRegressionTest {
    private static final long SEED = 1;

    @Test
    public void should_match_threshold_goodput_with_a_third_of_its_role_changes_when_mix_swings() {
        PolicyRunner runner = runner(BuiltInFleets.seitkali(), BuiltInTrace.SUDDEN_SWINGS);
        RunResult aspenmoor = runner.run(PolicyName.ASPENMOOR);
        RunResult threshold = runner.run(PolicyName.THRESHOLD);

        assertTrue(aspenmoor.weightedGoodput() >= threshold.weightedGoodput(), describe(aspenmoor, threshold));
        assertTrue(aspenmoor.roleChanges() * 3 <= threshold.roleChanges(), describe(aspenmoor, threshold));
    }

    @Test
    public void should_change_no_role_when_mix_oscillates_fast() {
        RunResult aspenmoor =
                runner(BuiltInFleets.seitkali(), BuiltInTrace.FAST_OSCILLATION).run(PolicyName.ASPENMOOR);

        assertEquals(aspenmoor.roleChanges(), 0);
        assertTrue(aspenmoor.weightedGoodput() > 0.97 * aspenmoor.offeredWeight(), aspenmoor.toString());
    }

    @Test
    public void should_answer_heaviest_kind_in_time_when_load_is_twice_the_capacity() {
        RunResult aspenmoor =
                runner(BuiltInFleets.hojas(), BuiltInTrace.OVERLOAD_2).run(PolicyName.ASPENMOOR);

        assertTrue(
                aspenmoor.heaviestInTimeFraction() > 0.97,
                "fraction of the heaviest kind answered in time: " + aspenmoor.heaviestInTimeFraction());
    }

    @Test
    public void should_return_first_token_sooner_than_least_reported_load_when_prefixes_are_shared() {
        PolicyRunner runner = runner(BuiltInFleets.seitkali(), BuiltInTrace.PREFIX_HEAVY);
        RunResult aspenmoor = runner.run(PolicyName.ASPENMOOR);
        RunResult leastLoad = runner.run(PolicyName.LEAST_REPORTED_LOAD);

        assertTrue(
                aspenmoor.firstTokenP95Seconds() < 0.7 * leastLoad.firstTokenP95Seconds(),
                describe(aspenmoor, leastLoad));
    }

    @Test
    public void should_return_same_result_when_seed_is_same() {
        RunResult first =
                runner(BuiltInFleets.hojas(), BuiltInTrace.ENGINE_WITHDRAWN).run(PolicyName.ASPENMOOR);
        RunResult second =
                runner(BuiltInFleets.hojas(), BuiltInTrace.ENGINE_WITHDRAWN).run(PolicyName.ASPENMOOR);

        assertEquals(second, first);
    }

    private static PolicyRunner runner(Fleet fleet, BuiltInTrace trace) {
        return new PolicyRunner(fleet, new TraceGenerator(fleet, new SplittableRandom(SEED)).generate(trace), SEED);
    }

    private static String describe(RunResult aspenmoor, RunResult other) {
        return "weighted goodput " + aspenmoor.weightedGoodput() + " and " + other.weightedGoodput() + ", role changes "
                + aspenmoor.roleChanges() + " and " + other.roleChanges() + ", first token p95 "
                + aspenmoor.firstTokenP95Seconds() + " and " + other.firstTokenP95Seconds();
    }
}
