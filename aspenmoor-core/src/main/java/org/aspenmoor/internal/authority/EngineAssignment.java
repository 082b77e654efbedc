package org.aspenmoor.internal.authority;

import java.util.List;
import org.aspenmoor.internal.engine.EngineRole;

/**
 * What a role plan wants of one engine.
 *
 * @param role the role it shall have
 * @param loads what it shall have in memory, in the order in which to load it
 */
public record EngineAssignment(EngineRole role, List<LoadItem> loads) {
    public EngineAssignment {
        loads = List.copyOf(loads);
    }

    /** Makes an assignment that asks for a role only. */
    public static EngineAssignment ofRole(EngineRole role) {
        return new EngineAssignment(role, List.of());
    }
}
