package org.aspenmoor.internal.planning;

import org.aspenmoor.internal.engine.EngineRole;

/**
 * An engine as the planner sees it.
 *
 * @param name its name
 * @param role the role it has or is changing to
 * @param availability whether it can work
 * @param runningSequences how many answers it is generating, which must end or move before it can change
 */
public record PlannedEngine(String name, EngineRole role, EngineAvailability availability, int runningSequences) {
    /** Says whether the engine works now. */
    public boolean isAvailable() {
        return availability instanceof EngineAvailability.Available;
    }

    /** Says whether the engine works now or will after its change. */
    public boolean countsTowardSplit() {
        return !(availability instanceof EngineAvailability.Withdrawn);
    }
}
