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
 * Drafts what a plan wants of each engine.
 *
 * <p>An engine that the rollout takes next is assigned everything that the document declares; one whose turn has not come
 * keeps what was assigned to it before. So a new version moves from engine to engine, and each engine's streams end
 * before it changes.
 */
public final class PlanDraft {
    private final LoadBudget budget;

    public PlanDraft(LoadBudget budget) {
        this.budget = budget;
    }

    Map<String, EngineAssignment> draft(
            ServiceDocument document, List<EngineSnapshot> engines, Map<String, EngineAssignment> before) {
        RolloutPolicy rollout = new RolloutPolicy(RolloutLimits.forEngines(Math.max(1, engines.size())), budget);
        Set<String> held = new HashSet<>();
        for (RolloutDecision decision : rollout.decide(document, rolloutEngines(engines, before))) {
            if (decision instanceof RolloutDecision.Hold hold) {
                held.add(hold.engine());
            }
        }
        EngineAssignment whole = new EngineAssignment(EngineRole.WHOLE, declaredLoads(document));
        Map<String, EngineAssignment> draft = new HashMap<>(before);
        for (EngineSnapshot engine : engines) {
            if (!engine.linked()) {
                continue;
            }
            Optional<EngineAssignment> earlier = Optional.ofNullable(before.get(engine.name()));
            boolean waits = held.contains(engine.name());
            draft.put(engine.name(), waits ? earlier.orElse(EngineAssignment.ofRole(EngineRole.WHOLE)) : whole);
        }
        draft.keySet().removeIf(name -> document.backend(name).isEmpty());
        return draft;
    }

    private static List<RolloutEngine> rolloutEngines(
            List<EngineSnapshot> engines, Map<String, EngineAssignment> before) {
        return engines.stream()
                .map(engine -> new RolloutEngine(
                        engine.name(),
                        availability(engine, before),
                        engine.loaded(),
                        engine.running(),
                        Optional.empty()))
                .toList();
    }

    // An engine that was assigned a load which it does not hold yet is taken already, though it still serves: its agent
    // reads plans every few seconds. Without this a second engine would be taken meanwhile, and both be away at once.
    private static EngineAvailability availability(EngineSnapshot engine, Map<String, EngineAssignment> before) {
        if (!engine.linked()) {
            return EngineAvailability.GONE;
        }
        EngineAssignment assigned = before.get(engine.name());
        boolean taken = assigned != null
                && assigned.loads().stream().anyMatch(load -> !engine.loaded().contains(load.label()));
        if (taken) {
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
