package org.aspenmoor.internal.serving.speed;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ProbeSimulationTest {
    private static final int SEEDS = Integer.getInteger("aspenmoor.seeds", 20);

    /** One probe of each server in 300 ms, and a few more. */
    private static final double MAX_PROBES_PER_SECOND = ProbeSimulation.SERVERS / 0.3 * 1.05;

    /** Until another entry probes the servers of a quarter of 300 entries, which report every three seconds. */
    private static final int THREE_REPORT_INTERVALS = 9000;

    /** Entries, lost part of the reports, killed part of the entries, and the highest ages in milliseconds. */
    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {
            {4, 0, 0, 250, 350},
            {34, 0, 0, 250, 400},
            {4, 0.1, 0.25, 250, 450},
            {34, 0.1, 0.25, 300, 700},
            {300, 0.1, 0.25, 2200, THREE_REPORT_INTERVALS}
        };
    }

    // Guards against statements that are old when entries use them, and against a number of probes that grows with the
    // number of entries.
    @Test(dataProvider = "fleets")
    public void should_know_recent_statements_of_all_servers(
            int entries, double lost, double killed, int maxMedian, int maxAge90) {
        // A run with 300 entries takes some seconds, so that they are simulated with a tenth of the seeds.
        int seeds = entries < 300 ? SEEDS : Math.max(1, SEEDS / 10);
        for (int seed = 1; seed <= seeds; seed++) {
            ProbeSimulation.Result result = new ProbeSimulation(entries, lost, seed).run(killed);
            String figures = "seed " + seed + ": " + result;
            assertTrue(result.medianAge() <= maxMedian, figures);
            assertTrue(result.age90() <= maxAge90, figures);
            assertTrue(result.probesPerSecond() <= MAX_PROBES_PER_SECOND, figures);
            if (Boolean.getBoolean("aspenmoor.figures")) {
                System.out.println(entries + " entries, lost " + lost + ", killed " + killed + ", " + figures);
            }
        }
    }
}
