package org.aspenmoor.internal.engine;

import java.util.Optional;
import java.util.Set;

/**
 * What an engine says about itself.
 *
 * @param incarnation changes with every start of the engine
 * @param role the role it has
 * @param ready whether it takes requests
 * @param lastOrderId the last order it began, if any since its start
 * @param lastOrderState how far that order is
 * @param highestFencingNumber the highest fencing number it was given; 0 for an engine that ignores them
 * @param loaded models and adapters in memory, as {@code MODEL@VERSION} and {@code MODEL:ADAPTER@VERSION}
 * @param load its load
 */
public record EngineStatus(
        String incarnation,
        EngineRole role,
        boolean ready,
        Optional<String> lastOrderId,
        OrderState lastOrderState,
        long highestFencingNumber,
        Set<String> loaded,
        EngineLoad load) {
    public EngineStatus {
        loaded = Set.copyOf(loaded);
    }
}
