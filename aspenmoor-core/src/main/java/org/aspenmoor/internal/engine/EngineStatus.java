package org.aspenmoor.internal.engine;

import java.util.Optional;
import java.util.Set;

/**
 * The status that an engine reported.
 *
 * @param incarnation an ID that changes with every start of the engine
 * @param role the current role
 * @param ready whether the engine accepts requests
 * @param lastOrderId the ID of the last order it started to execute; empty if there is none since its start
 * @param lastOrderState the state of that order
 * @param highestFencingNumber the highest fencing number received; 0 for an engine that ignores fencing numbers
 * @param loaded the models and adapters in memory, as {@code MODEL@VERSION} and {@code MODEL:ADAPTER@VERSION}
 * @param load the current load
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
