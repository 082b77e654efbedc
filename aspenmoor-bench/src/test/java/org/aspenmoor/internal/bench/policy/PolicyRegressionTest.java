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

/** Bounds below what docs/POLICY.md reports, so that a change that makes the decisions worse is seen at once. */
public class PolicyRegressionTest {
    private static final long SEED = 1;

    @Test
    public void should_beat_the_threshold_rule_with_a_third_of_its_changes_on_sudden_swings() {
        PolicyRunner runner = runner(BuiltInFleets.seitkali(), BuiltInTrace.SUDDEN_SWINGS);
        RunResult own = runner.run(PolicyName.ASPENMOOR);
        RunResult threshold = runner.run(PolicyName.THRESHOLD);

        assertTrue(own.weightedGoodput() >= threshold.weightedGoodput(), describe(own, threshold));
        assertTrue(own.roleChanges() * 3 <= threshold.roleChanges(), describe(own, threshold));
    }

    @Test
    public void should_change_no_role_on_the_fast_oscillation() {
        RunResult own =
                runner(BuiltInFleets.seitkali(), BuiltInTrace.FAST_OSCILLATION).run(PolicyName.ASPENMOOR);

        assertEquals(own.roleChanges(), 0);
        assertTrue(own.weightedGoodput() > 0.97 * own.offeredWeight(), own.toString());
    }

    @Test
    public void should_answer_the_heaviest_kind_under_twice_the_load() {
        RunResult own = runner(BuiltInFleets.hojas(), BuiltInTrace.OVERLOAD_2).run(PolicyName.ASPENMOOR);

        assertTrue(own.heaviestInTimeShare() > 0.97, "heaviest kind in time: " + own.heaviestInTimeShare());
    }

    @Test
    public void should_have_a_shorter_first_token_than_least_reported_load_where_prefixes_are_shared() {
        PolicyRunner runner = runner(BuiltInFleets.seitkali(), BuiltInTrace.PREFIX_HEAVY);
        RunResult own = runner.run(PolicyName.ASPENMOOR);
        RunResult leastLoad = runner.run(PolicyName.LEAST_REPORTED_LOAD);

        assertTrue(own.firstTokenP95Seconds() < 0.7 * leastLoad.firstTokenP95Seconds(), describe(own, leastLoad));
    }

    @Test
    public void should_give_the_same_result_for_the_same_seed() {
        RunResult first =
                runner(BuiltInFleets.hojas(), BuiltInTrace.ENGINE_WITHDRAWN).run(PolicyName.ASPENMOOR);
        RunResult second =
                runner(BuiltInFleets.hojas(), BuiltInTrace.ENGINE_WITHDRAWN).run(PolicyName.ASPENMOOR);

        assertEquals(second, first);
    }

    private static PolicyRunner runner(Fleet fleet, BuiltInTrace trace) {
        return new PolicyRunner(fleet, new TraceGenerator(fleet, new SplittableRandom(SEED)).generate(trace), SEED);
    }

    private static String describe(RunResult own, RunResult other) {
        return "goodput " + own.weightedGoodput() + " and " + other.weightedGoodput() + ", role changes "
                + own.roleChanges() + " and " + other.roleChanges() + ", first token p95 "
                + own.firstTokenP95Seconds() + " and " + other.firstTokenP95Seconds();
    }
}
