package org.aspenmoor.internal.serving.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Simulates fatal requests among ordinary ones, with several seeds, against the quarantines of several entries. */
public class QuarantineSimulationTest {
    private static final int SEEDS = 20;

    /**
     * Time within which every entry that is connected to the others or to the store must know of a third
     * termination.
     */
    private static final long KNOWN_WITHIN_MILLISECONDS = 3000;

    private static final int MAX_LATE_RUNS = 3;
    private static final double MAX_REFUSED_FRACTION = 0.01;

    @DataProvider
    public Object[][] faults() {
        FleetFaults none = FleetFaults.none();
        return new Object[][] {
            {none}, {none.losingReports(0.3)}, {none.restartingOneEvery(2000)}, {none.terminatingServersEvery(1500)},
        };
    }

    @DataProvider
    public Object[][] restartsOfAll() {
        FleetFaults restarts = FleetFaults.none().restartingAllEvery(5000);
        return new Object[][] {{restarts}, {restarts.losingReports(0.3).terminatingServersEvery(1500)}};
    }

    // Guards against a fatal request that keeps reaching servers after all entries should know of it.
    @Test(dataProvider = "faults")
    public void should_rarely_run_a_fatal_request_when_all_entries_can_know_of_it(FleetFaults faults) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            assertFewLateRuns(simulate(faults, seed), faults, seed);
        }
    }

    // Guards against a fatal request that is sent to servers again after each restart of all entries.
    @Test(dataProvider = "restartsOfAll")
    public void should_remember_fatal_requests_when_all_entries_restart_at_once(FleetFaults faults) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            assertFewLateRuns(simulate(faults, seed), faults, seed);
        }
    }

    // Guards against refusing a repeated request that is regularly answered, because servers terminated while
    // processing it.
    @Test(dataProvider = "faults")
    public void should_never_refuse_a_repeated_request_when_it_is_answered(FleetFaults faults) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            assertEquals(simulate(faults, seed).repeatedRefused(), 0, faults + ", seed " + seed);
        }
    }

    // Guards against refusing requests that were on the same server as a fatal one.
    @Test(dataProvider = "faults")
    public void should_refuse_few_requests_when_they_shared_a_server_with_a_fatal_one(FleetFaults faults) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            double fraction = simulate(faults, seed).refusedFraction();
            assertTrue(fraction <= MAX_REFUSED_FRACTION, faults + ", seed " + seed + ": " + fraction);
        }
    }

    // Guards against a quarantine that refuses more requests than the saved servers answer.
    @Test(dataProvider = "faults")
    public void should_answer_more_requests_when_the_quarantine_is_enabled(FleetFaults faults) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            FleetSimulation without = new FleetSimulation(faults, seed, false);
            without.run();
            FleetSimulation with = simulate(faults, seed);
            assertTrue(with.answeredFraction() > without.answeredFraction(), faults + ", seed " + seed);
        }
    }

    private static FleetSimulation simulate(FleetFaults faults, int seed) {
        FleetSimulation simulation = new FleetSimulation(faults, seed, true);
        simulation.run();
        return simulation;
    }

    private static void assertFewLateRuns(FleetSimulation simulation, FleetFaults faults, int seed) {
        for (FatalRequestRuns fatal : simulation.fatalRuns()) {
            int lateRuns = fatal.terminationsLaterThan(KNOWN_WITHIN_MILLISECONDS);
            assertTrue(
                    lateRuns <= MAX_LATE_RUNS,
                    faults + ", seed " + seed + ": " + lateRuns + " runs after the time limit");
        }
    }
}
