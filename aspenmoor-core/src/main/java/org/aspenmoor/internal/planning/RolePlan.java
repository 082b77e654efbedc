package org.aspenmoor.internal.planning;

import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.engine.EngineRole;

/**
 * The result of one planning round.
 *
 * @param roles the planned role of each engine, by engine name
 * @param changes the changes from the present roles
 * @param reason why the plan has these changes or none, for operators
 */
public record RolePlan(Map<String, EngineRole> roles, List<RoleChange> changes, String reason) {
    public RolePlan {
        roles = Map.copyOf(roles);
        changes = List.copyOf(changes);
    }
}
