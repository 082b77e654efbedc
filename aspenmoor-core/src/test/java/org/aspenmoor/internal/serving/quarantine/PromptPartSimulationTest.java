package org.aspenmoor.internal.serving.quarantine;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Simulates parts of prompts that terminate engines, with several seeds, against the quarantines of several entries. */
public class PromptPartSimulationTest {
    private static final int SEEDS = 5;
    private static final int MAX_LATE_ARRIVALS = 3;
    private static final double MAX_REFUSED_FRACTION = 0.01;
    private static final double MIN_SERVED_COMPARED_WITH_CALM = 0.95;

    /** Half of the engines are away by accident alone. */
    private static final double MIN_SERVED_DURING_ACCIDENTS = 0.5;

    @DataProvider
    public Object[][] fleets() {
        FleetFaults none = FleetFaults.none();
        List<FleetFaults> faults = List.of(
                none,
                none.losingReports(0.3),
                none.restartingOneEvery(2000),
                none.restartingAllEvery(15_000),
                none.terminatingServersEvery(4000));
        List<Object[]> fleets = new ArrayList<>();
        for (int entries : new int[] {8, 34}) {
            for (int fatalParts : new int[] {1, 2}) {
                faults.forEach(fault -> fleets.add(new Object[] {entries, fatalParts, fault}));
            }
        }
        return fleets.toArray(Object[][]::new);
    }

    // Guards against requests with a part that reach engines although all entries can know that it terminates them.
    @Test(dataProvider = "fleets")
    public void should_rarely_send_requests_with_fatal_part(int entries, int fatalParts, FleetFaults faults) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            int late = simulate(entries, fatalParts, faults, seed).maxLateArrivals();
            assertTrue(late <= MAX_LATE_ARRIVALS, faults + ", seed " + seed + ": " + late);
        }
    }

    // Guards against sound requests that find no engine because others terminate engine after engine.
    @Test(dataProvider = "fleets")
    public void should_serve_requests_with_same_first_part(int entries, int fatalParts, FleetFaults faults) {
        double minimum =
                faults.terminateServerMilliseconds() > 0 ? MIN_SERVED_DURING_ACCIDENTS : MIN_SERVED_COMPARED_WITH_CALM;
        for (int seed = 1; seed <= SEEDS; seed++) {
            double served = simulate(entries, fatalParts, faults, seed).servedComparedWithCalm();
            assertTrue(served >= minimum, faults + ", seed " + seed + ": " + served);
        }
    }

    // Guards against parts that are refused because their requests shared an engine with a fatal one.
    @Test(dataProvider = "fleets")
    public void should_refuse_few_sound_requests(int entries, int fatalParts, FleetFaults faults) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            double refused = simulate(entries, fatalParts, faults, seed).refusedFraction();
            assertTrue(refused <= MAX_REFUSED_FRACTION, faults + ", seed " + seed + ": " + refused);
        }
    }

    private static PromptPartSimulation simulate(int entries, int fatalParts, FleetFaults faults, long seed) {
        PromptPartSimulation simulation = new PromptPartSimulation(entries, fatalParts, faults, seed);
        simulation.run();
        return simulation;
    }
}
