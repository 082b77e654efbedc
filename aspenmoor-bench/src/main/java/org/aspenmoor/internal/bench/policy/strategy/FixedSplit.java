package org.aspenmoor.internal.bench.policy.strategy;

import java.util.List;
import org.aspenmoor.internal.planning.PlanningInput;
import org.aspenmoor.internal.planning.RoleChange;
import org.aspenmoor.internal.planning.RoleSplit;
import org.aspenmoor.internal.planning.WorkCounts;

/** Keeps the initial split and never changes a role. */
public final class FixedSplit implements PlanningStrategy {
    private final RoleSplit split;

    public FixedSplit(RoleSplit split) {
        this.split = split;
    }

    @Override
    public RoleSplit initialSplit() {
        return split;
    }

    @Override
    public void observe(WorkCounts counts) {
        // A fixed split does not depend on counts.
    }

    @Override
    public List<RoleChange> plan(PlanningInput input, FleetLoad load, long now) {
        return List.of();
    }
}
