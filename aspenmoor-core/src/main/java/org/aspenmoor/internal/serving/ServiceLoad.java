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

    /**
     * Returns the engines that take an even part of the requests, as they registered themselves. If the others counted
     * too, the answers of a service could depend on engines that take a few requests a second.
     */
    public List<BackendServer> unrestrictedServers() {
        return engines.stream()
                .filter(engine -> !engine.restricted())
                .map(EngineState::server)
                .toList();
    }
}
