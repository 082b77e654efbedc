package org.aspenmoor.internal.bench.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;

/** Draws faults, in calm phases and in dense ones; each has a number, by which a shorter schedule can leave it out without moving the others. */
final class FaultSchedule {
    private static final double[] FAULTS_PER_STEP = {0.01, 0.03, 0.06, 0.12, 0.25};
    private static final int STEPS_OF_PHASE = 500;
    private static final long SEED_OF_SCHEDULE = 0x5DEECE66DL;

    private final SplittableRandom random;
    private final IntPredicate kept;
    private final List<DrawnFault> drawn = new ArrayList<>();
    private int count;
    private double faultsPerStep = FAULTS_PER_STEP[0];

    FaultSchedule(long seed, IntPredicate kept) {
        this.random = new SplittableRandom(seed ^ SEED_OF_SCHEDULE);
        this.kept = kept;
    }

    Optional<DrawnFault> next(long step) {
        if (step % STEPS_OF_PHASE == 1) {
            faultsPerStep = FAULTS_PER_STEP[random.nextInt(FAULTS_PER_STEP.length)];
        }
        if (random.nextDouble() >= faultsPerStep) {
            return Optional.empty();
        }
        FaultKind[] kinds = FaultKind.values();
        DrawnFault fault = new DrawnFault(count, step, kinds[random.nextInt(kinds.length)]);
        count++;
        if (!kept.test(fault.index())) {
            return Optional.empty();
        }
        drawn.add(fault);
        return Optional.of(fault);
    }

    List<DrawnFault> drawn() {
        return drawn;
    }
}
