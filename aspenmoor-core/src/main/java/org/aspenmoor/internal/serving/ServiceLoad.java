package org.aspenmoor.internal.serving;

import java.util.List;
import java.util.Optional;

/**
 * The state of the engines of one service and the load on them.
 *
 * @param name the service's name
 * @param engines all engines of the service
 * @param requiredEventSeconds the longest interval between events at which the longest answers are complete in time;
 *     empty if unknown
 * @param promptLoad how much prompts load the engines
 */
public record ServiceLoad(
        String name, List<EngineState> engines, Optional<Double> requiredEventSeconds, PromptLoad promptLoad) {
    public ServiceLoad {
        engines = List.copyOf(engines);
    }

    /** Returns the engines as they registered themselves. */
    public List<BackendServer> servers() {
        return engines.stream().map(EngineState::server).toList();
    }
}
