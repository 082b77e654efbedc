package org.aspenmoor.internal.routing;

/**
 * What one engine is expected to make of a request, or of one stage of it.
 *
 * @param engine the engine
 * @param waitSeconds waiting before it is worked on
 * @param prefillFinishSeconds until the prompt is computed, waiting included
 * @param answerSeconds from then until the last token
 * @param cachedTokens prompt tokens that need no computing
 * @param interferenceSeconds what the work costs the answers that the engine generates already
 */
record StageEstimate(
        EngineView engine,
        double waitSeconds,
        double prefillFinishSeconds,
        double answerSeconds,
        int cachedTokens,
        double interferenceSeconds) {
    double finishSeconds() {
        return prefillFinishSeconds + answerSeconds;
    }

    double score() {
        return finishSeconds() + interferenceSeconds;
    }
}
