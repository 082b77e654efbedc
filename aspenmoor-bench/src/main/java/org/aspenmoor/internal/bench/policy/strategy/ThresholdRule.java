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
 * A common autoscaling rule: one engine changes to the role whose load is above its threshold while that of the other
 * role is not.
 *
 * <p>The thresholds and the minimum interval between changes are those with the best goodput of this rule over the
 * built-in traces; docs/POLICY.md has the figures.
 */
public final class ThresholdRule implements PlanningStrategy {
    private static final double HIGH_WAIT_SECONDS = 0.2;
    private static final double HIGH_OCCUPANCY = 0.8;
    private static final double MIN_CHANGE_INTERVAL_NANOSECONDS = 1e9;

    private final RoleSplit initialSplit;
    private long nextChangeAt;

    public ThresholdRule(RoleSplit initialSplit) {
        this.initialSplit = initialSplit;
    }

    @Override
    public RoleSplit initialSplit() {
        return initialSplit;
    }

    @Override
    public void observe(WorkCounts counts) {
        // The rule depends on the load only.
    }

    @Override
    public List<RoleChange> plan(PlanningInput input, FleetLoad load, long now) {
        if (now < nextChangeAt) {
            return List.of();
        }
        boolean prefillHigh = load.prefillWaitSeconds() > HIGH_WAIT_SECONDS;
        boolean decodeHigh = load.decodeOccupancy() > HIGH_OCCUPANCY;
        if (prefillHigh == decodeHigh) {
            return List.of();
        }
        Optional<RoleChange> change = prefillHigh
                ? changeLeastBusy(input, EngineRole.DECODE, EngineRole.PREFILL)
                : changeLeastBusy(input, EngineRole.PREFILL, EngineRole.DECODE);
        change.ifPresent(ordered -> nextChangeAt = now + (long) MIN_CHANGE_INTERVAL_NANOSECONDS);
        return change.stream().toList();
    }

    private static Optional<RoleChange> changeLeastBusy(PlanningInput input, EngineRole from, EngineRole to) {
        List<PlannedEngine> available = input.engines().stream()
                .filter(engine -> engine.isAvailable() && engine.role() == from)
                .toList();
        if (available.size() < 2) {
            return Optional.empty();
        }
        return available.stream()
                .min(Comparator.comparingInt(PlannedEngine::runningSequences))
                .map(engine -> new RoleChange(engine.name(), from, to));
    }
}
