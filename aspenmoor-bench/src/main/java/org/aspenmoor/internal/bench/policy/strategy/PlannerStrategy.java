package org.aspenmoor.internal.bench.policy.strategy;

import java.util.List;
import org.aspenmoor.internal.planning.PlanningInput;
import org.aspenmoor.internal.planning.RoleChange;
import org.aspenmoor.internal.planning.RolePlanner;
import org.aspenmoor.internal.planning.RoleSplit;
import org.aspenmoor.internal.planning.WorkCounts;

/** Planning by the planner of the daemon. */
public final class PlannerStrategy implements PlanningStrategy {
    private final RolePlanner planner;
    private final RoleSplit initialSplit;

    public PlannerStrategy(RolePlanner planner, RoleSplit initialSplit) {
        this.planner = planner;
        this.initialSplit = initialSplit;
    }

    @Override
    public RoleSplit initialSplit() {
        return initialSplit;
    }

    @Override
    public void observe(WorkCounts counts) {
        planner.observe(counts);
    }

    @Override
    public List<RoleChange> plan(PlanningInput input, FleetLoad load, long now) {
        return planner.plan(input, now).changes();
    }
}
