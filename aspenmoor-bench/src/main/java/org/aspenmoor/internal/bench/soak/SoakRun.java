package org.aspenmoor.internal.bench.soak;

import java.util.List;
import java.util.function.IntPredicate;

/** One run: a seed, a number of steps, and the faults that are kept. */
final class SoakRun {
    /** The two houses that a run may hold. */
    static final List<String> BOTH_HOUSES = List.of("seitkali", "hojas-andinas");

    private final List<String> houses;

    SoakRun(List<String> houses) {
        this.houses = List.copyOf(houses);
    }

    SoakResult run(long seed, long steps) {
        return run(seed, steps, index -> true);
    }

    SoakResult run(long seed, long steps, IntPredicate kept) {
        SoakWorld world = new SoakWorld(seed, houses);
        FaultSchedule schedule = new FaultSchedule(seed, kept);
        FaultInjector injector = new FaultInjector(world, seed);
        long step = 0;
        while (step < steps && world.violations().first().isEmpty()) {
            step++;
            world.log().beginStep(step);
            schedule.next(step).ifPresent(injector::inject);
            world.step();
        }
        return new SoakResult(
                seed,
                step,
                world.violations().first(),
                schedule.drawn(),
                world.log(),
                world.orders().totals(),
                world.ledger().totals(),
                world.streams().totals());
    }
}
