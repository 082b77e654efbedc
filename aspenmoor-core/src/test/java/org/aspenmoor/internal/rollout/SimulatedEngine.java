package org.aspenmoor.internal.rollout;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.aspenmoor.internal.engine.EngineOrder;

/** An engine that executes rollout decisions; a load replaces the previous version. */
final class SimulatedEngine {
    private final String name;
    private final Set<String> loaded = new HashSet<>();
    private EngineAvailability availability = EngineAvailability.SERVING;
    private Optional<EngineOrder> order = Optional.empty();
    private Optional<String> failedLoad = Optional.empty();
    private int remainingSteps;
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

    void disconnect() {
        availability = EngineAvailability.GONE;
        streams = 0;
    }

    /** Disconnects a serving engine, or reconnects a disconnected one as serving. */
    void toggleConnection() {
        if (availability == EngineAvailability.GONE) {
            availability = EngineAvailability.SERVING;
        } else if (availability == EngineAvailability.SERVING) {
            disconnect();
        }
    }

    void execute(RolloutDecision decision, int steps) {
        switch (decision) {
            case RolloutDecision.Drain drain -> availability = EngineAvailability.DRAINING;
            case RolloutDecision.Resume resume -> availability = EngineAvailability.SERVING;
            case RolloutDecision.Hold hold -> {}
            case RolloutDecision.SendOrder given -> {
                availability = EngineAvailability.LOADING;
                order = Optional.of(given.order());
                remainingSteps = steps;
            }
        }
    }

    /** Advances a running order; the load of an unloadable item fails and leaves the engine without it. */
    void step(Set<String> unloadableItems) {
        if (availability != EngineAvailability.LOADING) {
            return;
        }
        remainingSteps--;
        if (remainingSteps == 0) {
            finish(order.orElseThrow(), unloadableItems);
        }
    }

    private void finish(EngineOrder finished, Set<String> unloadableItems) {
        availability = EngineAvailability.DRAINING;
        switch (finished) {
            case EngineOrder.LoadModel load -> replace(load.model(), load.version(), unloadableItems);
            case EngineOrder.LoadAdapter load ->
                replace(load.model() + ":" + load.adapter(), load.version(), unloadableItems);
            case EngineOrder.UnloadAdapter unload ->
                loaded.removeIf(item -> item.startsWith(unload.model() + ":" + unload.adapter() + "@"));
            case EngineOrder.ChangeRole role -> throw new AssertionError("a rollout must not change roles");
        }
    }

    private void replace(String loadedName, String version, Set<String> unloadableItems) {
        loaded.removeIf(item -> item.startsWith(loadedName + "@"));
        String item = loadedName + "@" + version;
        if (unloadableItems.contains(item)) {
            failedLoad = Optional.of(item);
        } else {
            loaded.add(item);
            failedLoad = Optional.empty();
        }
    }
}
