package org.aspenmoor.internal.planning;

import java.util.List;

/**
 * The input of one planning round.
 *
 * @param engines all engines of the service in the data centre
 * @param kinds the kinds that the document of the team declares
 * @param costs the cost of a role change
 */
public record PlanningInput(List<PlannedEngine> engines, List<KindObjective> kinds, RoleChangeCosts costs) {
    public PlanningInput {
        engines = List.copyOf(engines);
        kinds = List.copyOf(kinds);
    }
}
