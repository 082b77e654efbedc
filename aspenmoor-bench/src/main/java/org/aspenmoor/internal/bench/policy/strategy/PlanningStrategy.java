package org.aspenmoor.internal.bench.policy.strategy;

import java.util.List;
import org.aspenmoor.internal.planning.PlanningInput;
import org.aspenmoor.internal.planning.RoleChange;
import org.aspenmoor.internal.planning.RoleSplit;
import org.aspenmoor.internal.planning.WorkCounts;

/** Plans the roles of the engines. */
public interface PlanningStrategy {
    /** Returns the role split at the start of a run. */
    RoleSplit initialSplit();

    /** Records the work counts of one entry. */
    void observe(WorkCounts counts);

    /** Returns the role changes to order now. */
    List<RoleChange> plan(PlanningInput input, FleetLoad load, long now);
}
