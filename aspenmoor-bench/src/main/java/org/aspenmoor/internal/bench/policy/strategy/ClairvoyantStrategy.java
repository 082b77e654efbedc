package org.aspenmoor.internal.bench.policy.strategy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.bench.policy.fleet.Fleet;
import org.aspenmoor.internal.bench.policy.trace.Trace;
import org.aspenmoor.internal.planning.GoodputModel;
import org.aspenmoor.internal.planning.PlannedEngine;
import org.aspenmoor.internal.planning.PlannerSettings;
import org.aspenmoor.internal.planning.PlanningInput;
import org.aspenmoor.internal.planning.RoleAssignment;
import org.aspenmoor.internal.planning.RoleChange;
import org.aspenmoor.internal.planning.RoleSplit;
import org.aspenmoor.internal.planning.WorkCounts;

/** Follows a plan made with knowledge of the whole trace. */
public final class ClairvoyantStrategy implements PlanningStrategy {
    private static final double NANOSECONDS = 1e9;
    private static final double STEP_SECONDS = 1;
    private static final double DRAIN_SECONDS = 0.3;

    private final RoleSplit initialSplit;
    private final ClairvoyantPlanner planner;
    private final Map<Integer, List<Map<RoleSplit, RoleSplit>>> plans = new HashMap<>();

    public ClairvoyantStrategy(
            Fleet fleet, Trace trace, PlannerSettings settings, int smoothingSteps, RoleSplit initialSplit) {
        this.initialSplit = initialSplit;
        GoodputModel model = new GoodputModel(settings);
        this.planner = new ClairvoyantPlanner(
                model,
                DemandSteps.of(fleet, trace, model, STEP_SECONDS, smoothingSteps),
                STEP_SECONDS,
                fleet.parameters().roleChangeSeconds() + DRAIN_SECONDS,
                fleet.roleChangePrice());
    }

    @Override
    public RoleSplit initialSplit() {
        return initialSplit;
    }

    @Override
    public void observe(WorkCounts counts) {
        // The plan is based on the trace, not on counts.
    }

    @Override
    public List<RoleChange> plan(PlanningInput input, FleetLoad load, long now) {
        RoleSplit current = new RoleSplit(0, 0, 0);
        for (PlannedEngine engine : input.engines()) {
            current = engine.countsTowardSplit() ? current.plus(engine.role(), 1) : current;
        }
        if (current.total() == 0) {
            return List.of();
        }
        List<Map<RoleSplit, RoleSplit>> plan = plans.computeIfAbsent(current.total(), planner::plan);
        int step = Math.min(plan.size() - 1, (int) (now / NANOSECONDS / STEP_SECONDS));
        RoleSplit next = plan.get(step).getOrDefault(current, current);
        return RoleAssignment.changes(input.engines(), current, next);
    }
}
