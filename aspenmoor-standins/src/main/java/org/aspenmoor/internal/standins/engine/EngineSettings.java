package org.aspenmoor.internal.standins.engine;

import java.util.List;
import org.aspenmoor.internal.engine.EngineRole;

/**
 * Settings of an engine stand-in.
 *
 * @param name the engine's name
 * @param role the initial role
 * @param ignoresFencing whether orders with outdated fencing numbers are accepted
 * @param roleChangeMilliseconds duration of a role change
 * @param tokenMilliseconds token interval of a sequence
 * @param prefillTokensPerSecond prefill rate
 * @param maxSequences maximum number of sequences that run concurrently
 * @param cachePieces capacity of the prefix cache in pieces
 * @param loaded models and adapters that are loaded initially
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
