package org.aspenmoor.internal.bench.capacity;

import java.util.List;
import java.util.Locale;

/** Takes all measurements and writes the capacity page's tables. */
public final class CapacityMain {
    private CapacityMain() {}

    /** Runs the measurements. */
    public static void main(String[] arguments) {
        List<Slope> slopes = measureSlopes();
        slopes.forEach(slope -> System.out.printf(
                Locale.ROOT,
                "%-90s %12.3f ± %.3f %s (r2 %.4f)%n",
                slope.cost().text(),
                slope.fit().slope(),
                slope.fit().slopeUncertainty(),
                slope.unit(),
                slope.fit().determination()));
        trial("healthy", TrialFaults.none());
        trial("lossy", new TrialFaults(0.01, 0.05, -1, -1, -1));
        trial("regions apart", new TrialFaults(0, 0, 300, 600, -1));
        trial("data centre lost", new TrialFaults(0, 0, -1, -1, 600));
    }

    private static void trial(String name, TrialFaults faults) {
        long before = System.nanoTime();
        FleetPlan plan = new FleetPlan(Aim.ENTRIES, Aim.ENGINES);
        TrialResult result = new DisseminationTrial(plan, 350, faults, 3).run(1800, 65);
        System.out.println(name + " " + result + " took " + (System.nanoTime() - before) / 1e9);
    }

    private static List<Slope> measureSlopes() {
        SlopeMeter meter = new SlopeMeter();
        new HeapSlopes(meter).measure();
        new LinkSlopes(meter).measure();
        new ProcessorSlopes(meter).measure();
        new DisseminationSlopes(meter).measure();
        return meter.slopes();
    }
}
