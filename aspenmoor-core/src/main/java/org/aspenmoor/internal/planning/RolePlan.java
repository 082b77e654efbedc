package org.aspenmoor.internal.planning;

import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.engine.EngineRole;

/**
 * The outcome of one planning round.
 *
 * @param roles the role of every engine that was planned for
 * @param changes those that differ from now
 * @param reason one sentence for an operator: why these changes, or why none
 */
public record RolePlan(Map<String, EngineRole> roles, List<RoleChange> changes, String reason) {
    public RolePlan {
        roles = Map.copyOf(roles);
        changes = List.copyOf(changes);
    }
}
