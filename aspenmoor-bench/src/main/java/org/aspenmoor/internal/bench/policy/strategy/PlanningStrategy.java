package org.aspenmoor.internal.bench.policy.strategy;

import java.util.List;
import org.aspenmoor.internal.planning.PlanningInput;
import org.aspenmoor.internal.planning.RoleChange;
import org.aspenmoor.internal.planning.RoleSplit;
import org.aspenmoor.internal.planning.WorkCounts;

/** How roles are planned. */
public interface PlanningStrategy {
    /** Returns the split at the start. */
    RoleSplit initialSplit();

    /** Takes the counts of one entry. */
    void observe(WorkCounts counts);

    /** Returns the changes to order now. */
    List<RoleChange> plan(PlanningInput input, FleetLoad load, long now);
}
