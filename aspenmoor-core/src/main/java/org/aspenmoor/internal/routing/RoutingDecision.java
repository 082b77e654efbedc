package org.aspenmoor.internal.routing;

import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Where a request goes.
 *
 * @param engine the engine that generates the answer
 * @param prefillEngine the engine that computes the prompt first and hands its cache to {@code engine}; empty where
 *     one engine does both
 * @param cachedTokens prompt tokens that the engine computing the prompt is believed to hold already
 * @param queueSeconds how long the request is expected to wait at engines before it is worked on
 * @param firstTokenSeconds expected seconds from now to the first token
 * @param finishSeconds expected seconds from now to the end of the answer
 * @param alternativeFinishSeconds what the finish would be the other way, one engine instead of two or two instead of one; empty
 *     where the other way was not open
 */
public record RoutingDecision(
        String engine,
        Optional<String> prefillEngine,
        int cachedTokens,
        double queueSeconds,
        double firstTokenSeconds,
        double finishSeconds,
        OptionalDouble alternativeFinishSeconds) {
    /** Returns the engine that computes the prompt. */
    public String engineForPrefill() {
        return prefillEngine.orElse(engine);
    }

    /** Returns one sentence for an operator. */
    public String reason() {
        String route = prefillEngine
                .map(prefill -> "prompt on " + prefill + ", answer on " + engine)
                .orElse("all on " + engine);
        String alternative = alternativeFinishSeconds.isPresent()
                ? String.format(Locale.ROOT, "the other way would take %.3f s", alternativeFinishSeconds.getAsDouble())
                : "the other way is not open";
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
