package org.aspenmoor.internal.planner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.aspenmoor.internal.authority.EngineAssignment;
import org.aspenmoor.internal.authority.LoadItem;
import org.aspenmoor.internal.document.AdapterDeclaration;
import org.aspenmoor.internal.document.ModelDeclaration;
import org.aspenmoor.internal.document.ServiceDocument;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.rollout.EngineAvailability;
import org.aspenmoor.internal.rollout.LoadBudget;
import org.aspenmoor.internal.rollout.RolloutDecision;
import org.aspenmoor.internal.rollout.RolloutEngine;
import org.aspenmoor.internal.rollout.RolloutLimits;
import org.aspenmoor.internal.rollout.RolloutPolicy;

/**
 * Drafts the assignments of a role plan.
 *
 * <p>An engine that the rollout selects next is assigned everything that the document declares; the others keep their
 * previous assignment. Thus a new version is rolled out engine by engine, and the streams of each engine end before it
 * changes.
 */
public final class PlanDrafter {
    private final LoadBudget budget;

    public PlanDrafter(LoadBudget budget) {
        this.budget = budget;
    }

    Map<String, EngineAssignment> draft(
            ServiceDocument document, List<EngineSnapshot> engines, Map<String, EngineAssignment> previous) {
        RolloutPolicy rollout = new RolloutPolicy(RolloutLimits.forEngines(Math.max(1, engines.size())), budget);
        Set<String> heldEngines = new HashSet<>();
        for (RolloutDecision decision : rollout.decide(document, rolloutEngines(engines, previous))) {
            if (decision instanceof RolloutDecision.Hold hold) {
                heldEngines.add(hold.engine());
            }
        }
        EngineAssignment fullAssignment = new EngineAssignment(EngineRole.WHOLE, declaredLoads(document));
        Map<String, EngineAssignment> draft = new HashMap<>(previous);
        for (EngineSnapshot engine : engines) {
            if (!engine.linked()) {
                continue;
            }
            Optional<EngineAssignment> previousAssignment = Optional.ofNullable(previous.get(engine.name()));
            boolean held = heldEngines.contains(engine.name());
            draft.put(
                    engine.name(),
                    held ? previousAssignment.orElse(EngineAssignment.ofRole(EngineRole.WHOLE)) : fullAssignment);
        }
        draft.keySet().removeIf(name -> document.backend(name).isEmpty());
        return draft;
    }

    private static List<RolloutEngine> rolloutEngines(
            List<EngineSnapshot> engines, Map<String, EngineAssignment> previous) {
        return engines.stream()
                .map(engine -> new RolloutEngine(
                        engine.name(),
                        availability(engine, previous),
                        engine.loaded(),
                        engine.running(),
                        Optional.empty()))
                .toList();
    }

    // An engine that was assigned a load it has not loaded yet counts as draining although it still serves: its agent
    // reads plans only every few seconds. Otherwise a second engine would be selected in the meantime, and both would
    // be unavailable at once.
    private static EngineAvailability availability(EngineSnapshot engine, Map<String, EngineAssignment> previous) {
        if (!engine.linked()) {
            return EngineAvailability.GONE;
        }
        EngineAssignment assigned = previous.get(engine.name());
        boolean changing = assigned != null
                && assigned.loads().stream().anyMatch(load -> !engine.loaded().contains(load.label()));
        if (changing) {
            return EngineAvailability.DRAINING;
        }
        return engine.ready() ? EngineAvailability.SERVING : EngineAvailability.LOADING;
    }

    private static List<LoadItem> declaredLoads(ServiceDocument document) {
        List<LoadItem> loads = new ArrayList<>();
        for (ModelDeclaration model : document.models()) {
            loads.add(new LoadItem(model.name(), Optional.empty(), model.version()));
            for (AdapterDeclaration adapter : model.adapters()) {
                loads.add(new LoadItem(model.name(), Optional.of(adapter.name()), adapter.version()));
            }
        }
        return loads;
    }
}
