package org.aspenmoor.internal.bench.policy.fleet;

import java.util.List;
import org.aspenmoor.internal.routing.EngineSpeed;

/**
 * A fleet, and the parts of its team's document that the bench needs.
 *
 * @param name name of the fleet
 * @param kinds request kinds: first the one with long prompts, then the one with long answers, then others
 * @param roleChangePrice price of one role change in the document, in units of weighted goodput
 * @param engines engines of the fleet
 * @param entries number of entries that send requests to the engines
 * @param parameters parameters of the engines
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

    /** Returns the requests of one kind per second that the fleet could serve if every engine had the ideal role. */
    public double maxRequestsPerSecond(TraceKind kind) {
        EngineSpeed speed = parameters.speed();
        double prefill = speed.prefillSeconds(kind.typicalPromptTokens());
        double decode =
                kind.typicalOutputTokens() * speed.stepSeconds(parameters.maxSequences()) / parameters.maxSequences();
        return engines.size() / (prefill + decode);
    }

    /**
     * Returns a copy with other parameters. Generated traces load it to the same degree, as their load is relative to
     * them.
     */
    public Fleet withParameters(EngineParameters newParameters) {
        return new Fleet(name, kinds, roleChangePrice, engines, entries, newParameters);
    }
}
