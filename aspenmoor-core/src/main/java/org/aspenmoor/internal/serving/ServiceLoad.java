package org.aspenmoor.internal.serving;

import java.util.List;
import java.util.Optional;

/**
 * What the engines of one service do and what is asked of them.
 *
 * @param name its name
 * @param engines all of them
 * @param neededPace the seconds from one event to the next at which the longest answers are whole in time
 * @param prompts how much prompts press
 */
public record ServiceLoad(String name, List<EngineState> engines, Optional<Double> requiredEventSeconds, PromptLoad promptLoad) {
    public ServiceLoad {
        engines = List.copyOf(engines);
    }

    /** Returns the engines as they registered themselves. */
    public List<BackendServer> servers() {
        return engines.stream().map(EngineState::server).toList();
    }
}
