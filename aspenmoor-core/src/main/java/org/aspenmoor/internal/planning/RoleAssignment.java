package org.aspenmoor.internal.planning;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.internal.engine.EngineRole;

/** Selects the engines that change their role in a transition from one split to another. */
public final class RoleAssignment {
    private RoleAssignment() {}

    /**
     * Returns the role changes; engines with the fewest running sequences are chosen first, because they drain
     * soonest.
     */
    public static List<RoleChange> changes(List<PlannedEngine> engines, RoleSplit from, RoleSplit to) {
        Map<EngineRole, Integer> missing = new EnumMap<>(EngineRole.class);
        for (EngineRole role : EngineRole.values()) {
            missing.put(role, to.count(role) - from.count(role));
        }
        List<RoleChange> changes = new ArrayList<>();
        List<PlannedEngine> fewestSequencesFirst = engines.stream()
                .filter(PlannedEngine::isAvailable)
                .sorted(Comparator.comparingInt(PlannedEngine::runningSequences).thenComparing(PlannedEngine::name))
                .toList();
        for (PlannedEngine engine : fewestSequencesFirst) {
            Optional<EngineRole> target = missing.entrySet().stream()
                    .filter(entry -> entry.getValue() > 0)
                    .map(Map.Entry::getKey)
                    .findFirst();
            if (target.isEmpty() || missing.get(engine.role()) >= 0) {
                continue;
            }
            missing.merge(engine.role(), 1, Integer::sum);
            missing.merge(target.get(), -1, Integer::sum);
            changes.add(new RoleChange(engine.name(), engine.role(), target.get()));
        }
        return changes;
    }
}
