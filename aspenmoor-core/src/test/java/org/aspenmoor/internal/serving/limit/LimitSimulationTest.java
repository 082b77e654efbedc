package org.aspenmoor.internal.serving.limit;

import static org.testng.Assert.assertTrue;

import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class LimitSimulationTest {
    private static final int SEEDS = 5;
    private static final String LIMITED = LimitSimulation.serverId(0);

    private static final Set<String> ALL =
            IntStream.range(0, 6).mapToObj(LimitSimulation::serverId).collect(Collectors.toSet());

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{2, 5.0}, {8, 5.0}, {8, 5.9}, {34, 5.0}, {34, 0.5}, {8, 0.0}, {34, 30.0}};
    }

    // Guards against entries that each take the limit of a server for their own, or do not follow it.
    @Test(dataProvider = "fleets")
    public void should_send_a_server_no_more_than_it_takes_from_all_entries_together(int entries, double limit) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            for (double lost : new double[] {0, 0.3}) {
                LimitScenario scenario =
                        LimitScenario.oneLimitedServer(entries, limit).withLostReports(lost);
                assertLimitKept(new LimitSimulation(scenario, seed).run(), scenario, LIMITED, seed);
            }
        }
    }

    // Guards against shares that sum past the limit while entries end, start, and wake with what they had saved.
    @Test(dataProvider = "fleets")
    public void should_keep_the_limit_when_entries_are_killed_and_suspended(int entries, double limit) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            LimitScenario scenario = LimitScenario.oneLimitedServer(entries, limit)
                    .withLostReports(0.1)
                    .withFaults(Set.of(0), Set.of(1));
            assertLimitKept(new LimitSimulation(scenario, seed).run(), scenario, LIMITED, seed);
        }
    }

    // Guards against entries that leave their share unused while others have callers who could use it.
    @Test(dataProvider = "loads")
    public void should_use_at_least_half_of_the_limits_when_all_servers_have_one(int entries, double skew) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            LimitScenario scenario =
                    LimitScenario.oneLimitedServer(entries, 5).withLimited(ALL).withCallers(60, skew);
            LimitSimulation simulation = new LimitSimulation(scenario, seed).run();
            for (String server : ALL) {
                double used = simulation.perSecond(server, 10 * LimitSimulation.SECOND, 30 * LimitSimulation.SECOND);
                assertTrue(used >= 2.5, "seed " + seed + ": " + server + " got " + used + " of 5 a second");
                assertLimitKept(simulation, scenario, server, seed);
            }
        }
    }

    @DataProvider
    public Object[][] loads() {
        return new Object[][] {{2, 1.0}, {8, 1.0}, {34, 1.0}, {8, 3.0}, {34, 3.0}, {8, 1000.0}, {34, 1000.0}};
    }

    // Guards against callers who are refused although servers without a limit have room.
    @Test(dataProvider = "fleets")
    public void should_serve_all_callers_elsewhere_when_one_server_has_a_limit(int entries, double limit) {
        LimitSimulation simulation = new LimitSimulation(LimitScenario.oneLimitedServer(entries, limit), 1).run();

        assertTrue(simulation.servedFraction() > 0.99, "served " + simulation.servedFraction());
    }

    // Guards against a limit whose end no entry learns of, and against a burst when it ends.
    @Test(dataProvider = "fleets")
    public void should_return_to_a_server_without_a_burst_when_its_limit_ends(int entries, double limit) {
        LimitSimulation simulation = new LimitSimulation(LimitScenario.oneLimitedServer(entries, limit), 1).run();
        double evenly = 15;

        double after = simulation.perSecond(LIMITED, 35 * LimitSimulation.SECOND, 40 * LimitSimulation.SECOND);
        assertTrue(after > evenly / 2, "got " + after + " a second ten seconds after the end");
        double most = simulation.perSecond(LIMITED, 30 * LimitSimulation.SECOND, 34 * LimitSimulation.SECOND);
        assertTrue(most < 2 * evenly, "got " + most + " a second after the end");
    }

    private static void assertLimitKept(LimitSimulation simulation, LimitScenario scenario, String server, int seed) {
        int most = simulation.mostInFourSeconds(server);
        assertTrue(
                most <= scenario.allowedInFourSeconds(),
                "seed " + seed + ", " + scenario.entries() + " entries: " + server + " got " + most
                        + " requests in 4 s, allowed " + scenario.allowedInFourSeconds());
    }
}
