package org.aspenmoor.internal.routing;

import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The engines chosen for a request, with the expected durations.
 *
 * @param engine the name of the engine that runs decode
 * @param prefillEngine the name of the engine that runs prefill and hands its cache off to {@code engine}; empty if
 *     one engine runs both stages
 * @param cachedTokens estimated prompt tokens in the cache of the engine that runs prefill
 * @param queueSeconds expected total wait in the queues of the engines
 * @param firstTokenSeconds expected seconds from now to the first token
 * @param finishSeconds expected seconds from now to the end of the answer
 * @param alternativeFinishSeconds expected seconds from now to the end of the answer with the alternative: one engine
 *     instead of two, or two instead of one; empty if the alternative was not available
 */
public record RoutingDecision(
        String engine,
        Optional<String> prefillEngine,
        int cachedTokens,
        double queueSeconds,
        double firstTokenSeconds,
        double finishSeconds,
        OptionalDouble alternativeFinishSeconds) {
    /** Returns the name of the engine that runs prefill. */
    public String engineForPrefill() {
        return prefillEngine.orElse(engine);
    }

    /** Returns a description of the decision for operators. */
    public String reason() {
        String route = prefillEngine
                .map(prefill -> "prefill on " + prefill + ", decode on " + engine)
                .orElse("prefill and decode on " + engine);
        String alternative = alternativeFinishSeconds.isPresent()
                ? String.format(
                        Locale.ROOT, "the alternative would finish in %.3f s", alternativeFinishSeconds.getAsDouble())
                : "no alternative is available";
        return String.format(
                Locale.ROOT,
                "%s: first token in %.3f s, finish in %.3f s, %d prompt tokens cached; %s",
                route,
                firstTokenSeconds,
                finishSeconds,
                cachedTokens,
                alternative);
    }
}
