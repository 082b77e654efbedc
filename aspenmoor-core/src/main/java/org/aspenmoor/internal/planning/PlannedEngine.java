package org.aspenmoor.internal.planning;

import org.aspenmoor.internal.engine.EngineRole;

/**
 * The state of an engine that planning depends on.
 *
 * @param name the name of the engine
 * @param role the role that the engine has or is changing to
 * @param availability whether it can serve requests
 * @param runningSequences the number of running sequences, which must end or move to other engines before a role
 *     change
 */
public record PlannedEngine(String name, EngineRole role, EngineAvailability availability, int runningSequences) {
    /** Returns whether the engine serves requests now. */
    public boolean isAvailable() {
        return availability instanceof EngineAvailability.Available;
    }

    /** Returns whether the engine serves requests now or will do so after its role change. */
    public boolean countsTowardSplit() {
        return !(availability instanceof EngineAvailability.Withdrawn);
    }
}
