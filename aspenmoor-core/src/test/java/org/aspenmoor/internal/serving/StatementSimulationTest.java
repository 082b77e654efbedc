package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class StatementSimulationTest {
    private static final int SEEDS = Integer.getInteger("aspenmoor.seeds", 5);
    private static final double USUAL_LOAD = 300;

    /** Half of what the servers can process. */
    private static final double HIGH_LOAD = 700;

    private static final int ALLOWED_WITHIN_PAUSE = 2;
    private static final Duration PAUSE = Duration.ofSeconds(3);
    private static final Set<Integer> ONE = Set.of(0);
    private static final Set<Integer> ALL =
            IntStream.range(0, StatementScenario.SERVERS).boxed().collect(Collectors.toSet());

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{2}, {8}, {34}};
    }

    // Guards against entries that send requests to a server that has asked them for a pause.
    @Test(dataProvider = "fleets")
    public void should_keep_the_pauses_that_servers_ask_for(int entries) {
        for (Set<Integer> shedding : Set.of(ONE, Set.of(1, 4), ALL)) {
            for (int seed = 1; seed <= SEEDS; seed++) {
                StatementScenario scenario =
                        StatementScenario.quiet(entries, USUAL_LOAD).withShedding(shedding, PAUSE);
                assertPausesKept(new StatementSimulation(scenario, seed).run(), seed);
                assertPausesKept(new StatementSimulation(withFaults(scenario), seed).run(), seed);
            }
        }
    }

    // Guards against callers who are refused although servers that want requests have room for them.
    @Test(dataProvider = "fleets")
    public void should_serve_callers_elsewhere_when_one_server_wants_a_pause(int entries) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            StatementScenario scenario =
                    StatementScenario.quiet(entries, USUAL_LOAD).withShedding(ONE, PAUSE);
            double servedFraction =
                    new StatementSimulation(scenario, seed).run().servedFraction();
            assertTrue(servedFraction > 0.99, "seed " + seed + ": served " + servedFraction);
        }
    }

    // Guards against entries that all return at once and push the server into its next pause.
    @Test(dataProvider = "fleets")
    public void should_return_to_a_server_without_a_burst_when_its_pause_ends(int entries) {
        double evenly = USUAL_LOAD / StatementScenario.SERVERS;
        long window = StatementSimulation.SECOND / 2;
        for (int seed = 1; seed <= SEEDS; seed++) {
            StatementScenario scenario =
                    StatementScenario.quiet(entries, USUAL_LOAD).withShedding(ONE, PAUSE);
            SimulatedServer server =
                    new StatementSimulation(scenario, seed).run().server(0);
            long ended = StatementScenario.STATED_UNTIL;

            int burst = server.largestBurst(ended, ended + 5 * StatementSimulation.SECOND, window);
            assertTrue(burst <= 2 * evenly / 2, "seed " + seed + ": " + burst + " requests in half a second");
            int used = server.arrivals(
                    ended + PAUSE.toNanos() + StatementSimulation.SECOND,
                    ended + PAUSE.toNanos() + 3 * StatementSimulation.SECOND);
            assertTrue(used >= evenly, "seed " + seed + ": " + used + " requests in two seconds after the pause");
        }
    }

    // Guards against a service whose servers go on turning callers away after what filled them is over.
    @Test(dataProvider = "fleets")
    public void should_serve_callers_again_when_the_servers_of_a_busy_service_wanted_pauses_at_once(int entries) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            StatementScenario scenario =
                    StatementScenario.quiet(entries, HIGH_LOAD).withShedding(ALL, PAUSE);
            StatementSimulation simulation = new StatementSimulation(scenario, seed).run();
            long recovered = StatementScenario.STATED_UNTIL + 4 * StatementSimulation.SECOND;
            int asked = 0;
            int turnedAway = 0;
            for (int server : ALL) {
                asked += simulation.server(server).arrivals(recovered, StatementScenario.END);
                turnedAway += simulation.server(server).turnedAway(recovered, StatementScenario.END);
            }
            assertTrue(asked > HIGH_LOAD * 4, "seed " + seed + ": " + asked + " requests in six seconds");
            assertTrue(turnedAway < asked / 10, "seed " + seed + ": " + turnedAway + " of " + asked + " turned away");
        }
    }

    // Guards against the others being filled by the requests that one server has turned away.
    @Test(dataProvider = "fleets")
    public void should_serve_most_callers_of_a_busy_service_when_one_server_wants_a_pause(int entries) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            StatementScenario scenario =
                    StatementScenario.quiet(entries, HIGH_LOAD).withShedding(ONE, PAUSE);
            double servedFraction =
                    new StatementSimulation(scenario, seed).run().servedFraction();
            assertTrue(servedFraction > 0.95, "seed " + seed + ": served " + servedFraction);
        }
    }

    // Guards against requests to a server that is draining, by an entry that its answers have told.
    @Test(dataProvider = "fleets")
    public void should_send_nothing_to_a_server_that_has_announced_that_it_is_draining(int entries) {
        for (Set<Integer> draining : Set.of(ONE, Set.of(1, 4), ALL)) {
            for (int seed = 1; seed <= SEEDS; seed++) {
                StatementScenario scenario =
                        StatementScenario.quiet(entries, USUAL_LOAD).withDraining(draining);
                assertDrainsKept(new StatementSimulation(scenario, seed).run(), seed);
                assertDrainsKept(new StatementSimulation(withFaults(scenario), seed).run(), seed);
            }
        }
    }

    // Guards against entries that learn of a draining server only when their own requests have been there.
    @Test(dataProvider = "fleets")
    public void should_send_a_draining_server_nothing_from_any_entry_once_reports_have_arrived(int entries) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            StatementScenario scenario = StatementScenario.quiet(entries, USUAL_LOAD)
                    .withDraining(ONE)
                    .withFaults(0.3, Set.of(0), Set.of(1));
            SimulatedServer server =
                    new StatementSimulation(scenario, seed).run().server(0);

            // An entry that starts again hears of it with the first report that arrives, ten of which come a second.
            long told = StatementScenario.STATED_FROM + 2 * StatementSimulation.SECOND;
            assertEquals(server.arrivals(told, StatementScenario.FAULT_AT), 0, "seed " + seed);
            long toldAgain = StatementScenario.FAULT_AT + 4 * StatementSimulation.SECOND;
            assertEquals(server.arrivals(toldAgain, StatementScenario.END), 0, "seed " + seed);
        }
    }

    // Guards against entries that have all just started and believe the registration of a server that is draining.
    @Test(dataProvider = "fleets")
    public void should_send_a_draining_server_nothing_again_when_all_entries_have_been_killed_at_once(int entries) {
        Set<Integer> all = IntStream.range(0, entries).boxed().collect(Collectors.toSet());
        for (int seed = 1; seed <= SEEDS; seed++) {
            StatementScenario scenario = StatementScenario.quiet(entries, USUAL_LOAD)
                    .withDraining(ONE)
                    .withFaults(0.3, all, Set.of());
            SimulatedServer server =
                    new StatementSimulation(scenario, seed).run().server(0);

            // The entries start after two seconds; another three later they have to know what they were told.
            long toldAgain = StatementScenario.FAULT_AT + 5 * StatementSimulation.SECOND;
            assertEquals(server.arrivals(toldAgain, StatementScenario.END), 0, "seed " + seed);
            assertTrue(
                    server.arrivals(StatementScenario.FAULT_AT, toldAgain) > 0, "the entries knew without an answer");
        }
    }

    // Guards against entries that have all just started and together send a server that wants pauses too much.
    @Test(dataProvider = "fleets")
    public void should_keep_the_pauses_when_all_entries_have_been_killed_at_once(int entries) {
        Set<Integer> all = IntStream.range(0, entries).boxed().collect(Collectors.toSet());
        for (int seed = 1; seed <= SEEDS; seed++) {
            StatementScenario scenario = StatementScenario.quiet(entries, USUAL_LOAD)
                    .withShedding(ONE, PAUSE)
                    .withFaults(0.3, all, Set.of());
            assertPausesKept(new StatementSimulation(scenario, seed).run(), seed);
        }
    }

    private static StatementScenario withFaults(StatementScenario scenario) {
        return scenario.withFaults(0.3, Set.of(0), Set.of(1));
    }

    private static void assertPausesKept(StatementSimulation simulation, int seed) {
        for (int server : ALL) {
            int most = simulation.server(server).mostWithinPause();
            assertTrue(
                    most <= ALLOWED_WITHIN_PAUSE,
                    "seed " + seed + ": server " + server + " got " + most + " requests within a pause");
        }
    }

    private static void assertDrainsKept(StatementSimulation simulation, int seed) {
        for (int server : ALL) {
            assertEquals(simulation.server(server).afterDrain(), 0, "seed " + seed + ", server " + server);
        }
    }
}
