package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertTrue;

import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Simulates entries that share a retry budget and are all killed at once, with several seeds. */
public class RetrySimulationTest {
    private static final int SEEDS = 5;
    private static final double FAILING_FROM_SECOND = 28;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{2}, {8}, {34}, {300}};
    }

    // Guards against retries that exceed the shared bound while the entries run.
    @Test(dataProvider = "fleets")
    public void should_stay_below_the_shared_bound_when_no_entry_is_killed(int entries) {
        assertBoundKept(entries, Set.of());
    }

    // Guards against entries that start with full budgets although the processes before them have just used theirs.
    @Test(dataProvider = "fleets")
    public void should_stay_below_the_shared_bound_when_all_entries_are_killed_at_once(int entries) {
        assertBoundKept(entries, Set.of(30.0));
    }

    // Guards against a full budget after each of several kills in one window.
    @Test(dataProvider = "fleets")
    public void should_stay_below_the_shared_bound_when_all_entries_are_killed_again_and_again(int entries) {
        assertBoundKept(entries, Set.of(29.0, 30.4, 33.0, 36.0));
    }

    private static void assertBoundKept(int entries, Set<Double> killSeconds) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            RetrySimulation simulation = new RetrySimulation(entries, killSeconds, FAILING_FROM_SECOND, seed);
            simulation.run();
            double use = simulation.highestUse();
            assertTrue(use <= 1, entries + " entries, seed " + seed + ": " + use + " of the bound");
        }
    }
}
