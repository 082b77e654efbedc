package org.aspenmoor.internal.routing;

import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Where a request goes.
 *
 * @param backend the engine that generates the answer
 * @param prefillBackend the engine that computes the prompt first and hands its cache to {@code backend}; empty where
 *     one engine does both
 * @param cachedTokens prompt tokens that the engine computing the prompt is believed to hold already
 * @param queueSeconds how long the request is expected to wait at engines before it is worked on
 * @param firstTokenSeconds expected seconds from now to the first token
 * @param finishSeconds expected seconds from now to the end of the answer
 * @param otherWaySeconds what the finish would be the other way, one engine instead of two or two instead of one; empty
 *     where the other way was not open
 */
public record RoutingDecision(
        String backend,
        Optional<String> prefillBackend,
        int cachedTokens,
        double queueSeconds,
        double firstTokenSeconds,
        double finishSeconds,
        OptionalDouble otherWaySeconds) {
    /** Returns the engine that computes the prompt. */
    public String promptBackend() {
        return prefillBackend.orElse(backend);
    }

    /** Returns one sentence for an operator. */
    public String reason() {
        String way = prefillBackend
                .map(prefill -> "prompt on " + prefill + ", answer on " + backend)
                .orElse("all on " + backend);
        String other = otherWaySeconds.isPresent()
                ? String.format(Locale.ROOT, "the other way would take %.3f s", otherWaySeconds.getAsDouble())
                : "the other way is not open";
        return String.format(
                Locale.ROOT,
                "%s: first token in %.3f s, finish in %.3f s, %d prompt tokens cached; %s",
                way,
                firstTokenSeconds,
                finishSeconds,
                cachedTokens,
                other);
    }
}
