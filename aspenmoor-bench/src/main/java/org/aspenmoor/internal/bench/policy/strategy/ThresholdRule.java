package org.aspenmoor.internal.bench.policy.strategy;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.planning.PlannedEngine;
import org.aspenmoor.internal.planning.PlanningInput;
import org.aspenmoor.internal.planning.RoleChange;
import org.aspenmoor.internal.planning.RoleSplit;
import org.aspenmoor.internal.planning.WorkCounts;

/**
 * The usual autoscaling rule: one engine moves to the role that is above its threshold while the other is below.
 *
 * <p>Thresholds and the pause were chosen for the best goodput of this rule over the built-in traces; docs/POLICY.md
 * has the figures.
 */
public final class ThresholdRule implements PlanningStrategy {
    private static final double HIGH_WAIT_SECONDS = 0.2;
    private static final double HIGH_OCCUPANCY = 0.8;
    private static final double PAUSE_NANOSECONDS = 1e9;

    private final RoleSplit start;
    private long pausedUntil;

    public ThresholdRule(RoleSplit start) {
        this.start = start;
    }

    @Override
    public RoleSplit start() {
        return start;
    }

    @Override
    public void observe(WorkCounts counts) {
        // The rule looks at load only.
    }

    @Override
    public List<RoleChange> plan(PlanningInput input, FleetLoad load, long now) {
        if (now < pausedUntil) {
            return List.of();
        }
        boolean prefillHigh = load.prefillWaitSeconds() > HIGH_WAIT_SECONDS;
        boolean decodeHigh = load.decodeOccupancy() > HIGH_OCCUPANCY;
        if (prefillHigh == decodeHigh) {
            return List.of();
        }
        Optional<RoleChange> change = prefillHigh
                ? move(input, EngineRole.DECODE, EngineRole.PREFILL)
                : move(input, EngineRole.PREFILL, EngineRole.DECODE);
        change.ifPresent(made -> pausedUntil = now + (long) PAUSE_NANOSECONDS);
        return change.stream().toList();
    }

    private static Optional<RoleChange> move(PlanningInput input, EngineRole from, EngineRole to) {
        List<PlannedEngine> working = input.engines().stream()
                .filter(engine -> engine.isAvailable() && engine.role() == from)
                .toList();
        if (working.size() < 2) {
            return Optional.empty();
        }
        return working.stream()
                .min(Comparator.comparingInt(PlannedEngine::runningSequences))
                .map(engine -> new RoleChange(engine.name(), from, to));
    }
}
