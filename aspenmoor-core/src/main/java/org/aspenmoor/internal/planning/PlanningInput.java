package org.aspenmoor.internal.planning;

import java.util.List;

/**
 * What one planning round knows.
 *
 * @param engines all engines of the service in the data centre
 * @param kinds the kinds of the team's document with their weights
 * @param costs what a change takes
 */
public record PlanningInput(List<PlannedEngine> engines, List<KindObjective> kinds, RoleChangeCosts costs) {
    public PlanningInput {
        engines = List.copyOf(engines);
        kinds = List.copyOf(kinds);
    }
}
