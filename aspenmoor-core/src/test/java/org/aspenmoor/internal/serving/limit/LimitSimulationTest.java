package org.aspenmoor.internal.serving.limit;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class LimitSimulationTest {
    private static final int SEEDS = 5;
    private static final String LIMITED = LimitSimulation.serverId(0);

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{2, 5.0}, {8, 5.0}, {8, 5.9}, {34, 5.0}, {34, 0.5}, {8, 0.0}, {34, 30.0}};
    }

    // Guards against entries that each take the limit of a server for their own, or do not follow it.
    @Test(dataProvider = "fleets", groups = "known-red")
    public void should_send_a_server_no_more_than_it_takes_from_all_entries_together(int entries, double limit) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            for (double lost : new double[] {0, 0.3}) {
                LimitScenario scenario =
                        LimitScenario.oneLimitedServer(entries, limit).withLostReports(lost);
                assertLimitKept(new LimitSimulation(scenario, seed).run(), scenario, LIMITED, seed);
            }
        }
    }

    private static void assertLimitKept(LimitSimulation simulation, LimitScenario scenario, String server, int seed) {
        int most = simulation.mostInFourSeconds(server);
        assertTrue(
                most <= scenario.allowedInFourSeconds(),
                "seed " + seed + ", " + scenario.entries() + " entries: " + server + " got " + most
                        + " requests in 4 s, allowed " + scenario.allowedInFourSeconds());
    }
}
