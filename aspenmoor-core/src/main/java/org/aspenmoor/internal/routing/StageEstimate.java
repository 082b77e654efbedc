package org.aspenmoor.internal.routing;

/**
 * The expected durations of a request, or of one stage of it, on one engine.
 *
 * @param engine the engine
 * @param waitSeconds expected wait before the engine starts
 * @param prefillFinishSeconds seconds until the end of prefill, including the wait; 0 for decode only
 * @param answerSeconds seconds from the end of prefill until the last token, including the handoff and the wait for
 *     decode if decode runs on another engine; 0 for prefill only
 * @param cachedTokens prompt tokens in the cache, which need no prefill
 * @param interferenceSeconds weighted delay that the prefill causes to the sequences already running on the engine
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
