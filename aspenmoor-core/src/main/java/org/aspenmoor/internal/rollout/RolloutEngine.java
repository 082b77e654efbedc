package org.aspenmoor.internal.rollout;

import java.util.Optional;
import java.util.Set;

/**
 * The state of an engine that the rollout depends on.
 *
 * @param name the name of the engine
 * @param availability whether it accepts new requests
 * @param loaded the loaded models and adapters, as {@code MODEL@VERSION} and {@code MODEL:ADAPTER@VERSION}
 * @param runningStreams number of running streams
 * @param failedLoad the model or adapter of the last load, if that load failed
 */
public record RolloutEngine(
        String name,
        EngineAvailability availability,
        Set<String> loaded,
        int runningStreams,
        Optional<String> failedLoad) {
    public RolloutEngine {
        loaded = Set.copyOf(loaded);
    }

    boolean hasAvailability(EngineAvailability expected) {
        return availability == expected;
    }

    /** Returns whether any version of the model is loaded. */
    boolean holdsModel(String model) {
        return loaded.stream().anyMatch(item -> item.startsWith(model + "@"));
    }
}
