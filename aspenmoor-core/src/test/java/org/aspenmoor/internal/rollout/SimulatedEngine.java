package org.aspenmoor.internal.rollout;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.aspenmoor.internal.engine.EngineOrder;

/** An engine that carries out what the rollout decides; a load replaces the version before it. */
final class SimulatedEngine {
    private final String name;
    private final Set<String> loaded = new HashSet<>();
    private EngineAvailability availability = EngineAvailability.SERVING;
    private Optional<EngineOrder> order = Optional.empty();
    private Optional<String> failedLoad = Optional.empty();
    private int stepsLeft;
    private int streams;

    SimulatedEngine(String name, Set<String> loaded) {
        this.name = name;
        this.loaded.addAll(loaded);
    }

    RolloutEngine snapshot() {
        return new RolloutEngine(name, availability, loaded, streams, failedLoad);
    }

    String name() {
        return name;
    }

    int streams() {
        return streams;
    }

    EngineAvailability availability() {
        return availability;
    }

    boolean isServing() {
        return availability == EngineAvailability.SERVING;
    }

    void startStream() {
        streams++;
    }

    void endStream() {
        streams = Math.max(0, streams - 1);
    }

    void vanish() {
        availability = EngineAvailability.GONE;
        streams = 0;
    }

    /** Is cut off, or comes back as it was: whether the rollout had drained it is not remembered. */
    void vanishOrReturn() {
        if (availability == EngineAvailability.GONE) {
            availability = EngineAvailability.SERVING;
        } else if (availability == EngineAvailability.SERVING) {
            vanish();
        }
    }

    void carryOut(RolloutDecision decision, int steps) {
        switch (decision) {
            case RolloutDecision.Drain drain -> availability = EngineAvailability.DRAINING;
            case RolloutDecision.Resume resume -> availability = EngineAvailability.SERVING;
            case RolloutDecision.Hold hold -> {}
            case RolloutDecision.GiveOrder given -> {
                availability = EngineAvailability.LOADING;
                order = Optional.of(given.order());
                stepsLeft = steps;
            }
        }
    }

    /** Goes on with a running order; a load of a broken version fails and leaves the engine without the model. */
    void step(Set<String> brokenItems) {
        if (availability != EngineAvailability.LOADING) {
            return;
        }
        stepsLeft--;
        if (stepsLeft == 0) {
            finish(order.orElseThrow(), brokenItems);
        }
    }

    private void finish(EngineOrder finished, Set<String> brokenItems) {
        availability = EngineAvailability.DRAINING;
        switch (finished) {
            case EngineOrder.LoadModel load -> replace(load.model(), load.version(), brokenItems);
            case EngineOrder.LoadAdapter load ->
                replace(load.model() + ":" + load.adapter(), load.version(), brokenItems);
            case EngineOrder.UnloadAdapter unload ->
                loaded.removeIf(item -> item.startsWith(unload.model() + ":" + unload.adapter() + "@"));
            case EngineOrder.ChangeRole role -> throw new AssertionError("a rollout changes no role");
        }
    }

    private void replace(String loadedName, String version, Set<String> brokenItems) {
        loaded.removeIf(item -> item.startsWith(loadedName + "@"));
        String item = loadedName + "@" + version;
        if (brokenItems.contains(item)) {
            failedLoad = Optional.of(item);
        } else {
            loaded.add(item);
            failedLoad = Optional.empty();
        }
    }
}
