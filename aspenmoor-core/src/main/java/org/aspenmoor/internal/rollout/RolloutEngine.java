package org.aspenmoor.internal.rollout;

import java.util.Optional;
import java.util.Set;

/**
 * An engine as the rollout sees it.
 *
 * @param name its name
 * @param availability whether it takes new work
 * @param loaded what it holds, as {@code MODEL@VERSION} and {@code MODEL:ADAPTER@VERSION}
 * @param runningStreams streams that have not ended on it
 * @param failedLoad what it failed to load last, if that is the last thing it tried
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

    /** Says whether it holds any version of a model. */
    boolean holdsModel(String model) {
        return loaded.stream().anyMatch(item -> item.startsWith(model + "@"));
    }
}
