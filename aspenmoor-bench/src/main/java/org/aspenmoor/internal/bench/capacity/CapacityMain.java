package org.aspenmoor.internal.bench.capacity;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Takes all measurements and writes the tables of the capacity page. */
public final class CapacityMain {
    private static final int TRIAL_SECONDS = 1800;
    private static final int TRIAL_CHANGES = 65;
    private static final int TRIAL_DOCUMENTS = 350;
    private static final int REFILL_TRIAL_SECONDS = 600;
    private static final int REFILL_AT_SECONDS = 120;
    private static final int REFILL_CHANGES = 22;
    private static final long SEED = 3;

    private CapacityMain() {}

    /** Runs the measurements and writes the page named by the first argument. */
    public static void main(String[] arguments) throws IOException {
        CapacityPage page = new CapacityPage(Path.of(arguments[0]));
        List<Slope> slopes = measureSlopes();
        FleetPlan plan = new FleetPlan(Aim.ENTRIES, Aim.ENGINES);
        Measurements measured = new Measurements(slopes, LinkCounts.of(plan), runTrials());
        ControlBudgets control = new ControlBudgets(measured);
        DataPathBudgets dataPath = new DataPathBudgets(measured);
        page.put("slopes", CapacityPage.slopeRows(slopes));
        page.put("sizes", CapacityPage.sizeRows(MessageSizes.all()));
        page.put("trials", CapacityPage.trialRows(measured.trials()));
        page.put("growth", CapacityPage.trialRows(runSizes()));
        page.put("entry", control.entry().rows(true));
        page.put("planner", control.planner().rows(true));
        page.put("relay", control.relay().rows(true));
        page.put("agent", control.agent().rows(true));
        page.put("entry-data", dataPath.entry().rows(false));
        page.put("agent-data", dataPath.agent().rows(false));
        page.put("store", StoreBudget.rows());
        page.put("breaks", new TodayBreaks(measured).rows());
        page.save();
        System.out.println("capacity: wrote the tables of " + arguments[0] + ".");
    }

    private static List<Slope> measureSlopes() {
        SlopeMeter meter = new SlopeMeter();
        new HeapSlopes(meter).measure();
        new LinkSlopes(meter).measure();
        ProcessorSlopes processor = new ProcessorSlopes(meter);
        processor.measure();
        RoutingSlopes routing = new RoutingSlopes(meter);
        routing.measure();
        KeySlopes keys = new KeySlopes(meter);
        keys.measure();
        new DisseminationSlopes(meter).measure();
        System.out.println("capacity: measured " + meter.slopes().size() + " slopes, check sum "
                + (processor.consumed() + routing.consumed() + keys.consumed()) + ".");
        return meter.slopes();
    }

    private static Map<String, TrialResult> runTrials() {
        Map<String, TrialResult> trials = new LinkedHashMap<>();
        trials.put("nothing fails", trial(TrialFaults.none()));
        trials.put("1% of messages and 5% of watch events lost", trial(new TrialFaults(0.01, 0.05, -1, -1, -1)));
        trials.put("one region apart for 5 minutes", trial(new TrialFaults(0, 0, 300, 600, -1)));
        FleetPlan plan = new FleetPlan(Aim.ENTRIES, Aim.ENGINES);
        TrialFaults returning = new TrialFaults(0, 0, -1, -1, REFILL_AT_SECONDS);
        trials.put(
                "a data centre comes back empty, 3,500 documents",
                trial(plan, Aim.TEAMS, returning, REFILL_TRIAL_SECONDS, REFILL_CHANGES));
        return trials;
    }

    /** Runs the healthy trial at several sizes of fleet, to show that no process pays for the size. */
    private static Map<String, TrialResult> runSizes() {
        Map<String, TrialResult> trials = new LinkedHashMap<>();
        for (int divisor : new int[] {8, 4, 2, 1}) {
            int entries = Aim.ENTRIES / divisor;
            int agents = Aim.ENGINES / divisor;
            FleetPlan plan = new FleetPlan(entries, agents);
            trials.put(
                    entries + " entries, " + agents + " agents",
                    trial(plan, TRIAL_DOCUMENTS, TrialFaults.none(), REFILL_TRIAL_SECONDS, REFILL_CHANGES));
        }
        return trials;
    }

    private static TrialResult trial(TrialFaults faults) {
        FleetPlan plan = new FleetPlan(Aim.ENTRIES, Aim.ENGINES);
        return trial(plan, TRIAL_DOCUMENTS, faults, TRIAL_SECONDS, TRIAL_CHANGES);
    }

    private static TrialResult trial(FleetPlan plan, int documents, TrialFaults faults, int seconds, int changes) {
        TrialResult result = new DisseminationTrial(plan, documents, faults, SEED).run(seconds, changes);
        System.out.println("capacity: trial " + result);
        return result;
    }
}
