package org.aspenmoor.internal.standins.engine;

import java.util.List;
import org.aspenmoor.internal.engine.EngineRole;

/**
 * How an engine stand-in behaves.
 *
 * @param name its name
 * @param role the role it starts with
 * @param ignoresFencing whether it takes orders with old fencing numbers
 * @param roleChangeMilliseconds how long a role change takes
 * @param tokenMilliseconds time between two tokens of a sequence
 * @param prefillTokensPerSecond speed of computing prompts
 * @param maxSequences how many requests generate at once
 * @param cachePieces pieces of cache memory
 * @param loaded models and adapters in memory at the start
 */
public record EngineSettings(
        String name,
        EngineRole role,
        boolean ignoresFencing,
        long roleChangeMilliseconds,
        double tokenMilliseconds,
        double prefillTokensPerSecond,
        int maxSequences,
        int cachePieces,
        List<String> loaded) {
    public EngineSettings {
        loaded = List.copyOf(loaded);
    }
}
