package org.aspenmoor.internal.bench.policy.fleet;

import java.util.List;
import org.aspenmoor.internal.routing.EngineSpeed;

/**
 * A fleet and the team's document, as far as the bench needs it.
 *
 * @param name its name
 * @param kinds the kinds: the one with long prompts, the one with long answers, then others
 * @param roleChangePrice the team's price of one change
 * @param engines the engines
 * @param entries how many entries send to them
 * @param parameters how the engines behave
 */
public record Fleet(
        String name,
        List<TraceKind> kinds,
        double roleChangePrice,
        List<FleetEngine> engines,
        int entries,
        EngineParameters parameters) {
    public Fleet {
        kinds = List.copyOf(kinds);
        engines = List.copyOf(engines);
    }

    /** Returns how many requests of one kind a second the fleet could serve if every engine had the ideal role. */
    public double maxRequestsPerSecond(TraceKind kind) {
        EngineSpeed speed = parameters.speed();
        double prefill = speed.prefillSeconds(kind.typicalPromptTokens());
        double decode =
                kind.typicalOutputTokens() * speed.stepSeconds(parameters.maxSequences()) / parameters.maxSequences();
        return engines.size() / (prefill + decode);
    }

    /** Returns the fleet with other parameters; traces keep pressing it alike, since load is relative to them. */
    public Fleet withParameters(EngineParameters newParameters) {
        return new Fleet(name, kinds, roleChangePrice, engines, entries, newParameters);
    }
}
