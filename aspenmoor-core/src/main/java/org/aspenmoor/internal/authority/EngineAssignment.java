package org.aspenmoor.internal.authority;

import java.util.List;
import org.aspenmoor.internal.engine.EngineRole;

/**
 * The target state of one engine in a role plan.
 *
 * @param role the role of the engine
 * @param loads the models and adapters to keep in memory, in loading order
 */
public record EngineAssignment(EngineRole role, List<LoadItem> loads) {
    public EngineAssignment {
        loads = List.copyOf(loads);
    }

    /** Returns an assignment with a role and nothing to load. */
    public static EngineAssignment ofRole(EngineRole role) {
        return new EngineAssignment(role, List.of());
    }
}
