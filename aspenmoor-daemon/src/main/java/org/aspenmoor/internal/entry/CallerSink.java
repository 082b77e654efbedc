package org.aspenmoor.internal.entry;

import org.aspenmoor.Outcome;

/** Takes a request's answer towards its caller. The event loop's thread calls it; no call blocks. */
public interface CallerSink {
    /** Takes the next piece of a generation. */
    void onText(String text);

    /** Takes the end of a generation whose pieces were all given. */
    void onGenerationComplete(String finishReason, int promptTokens, int outputTokens);

    /** Takes the whole answer of a plain service. */
    void onPlainAnswer(PlainAnswer answer);

    /** Takes that the request did not run. */
    void onRefused(Outcome.NotRun refusal);

    /** Takes that nobody knows whether the request ran, or that an answer already begun cannot be finished. */
    void onUnknown(Outcome.Unknown unknown);

    /** Returns how many pieces the caller has taken since the last call; each frees credit for one more. */
    int takeConsumedPieces();

    /** Says whether pieces wait for the caller to take them, so that silence is not the engine's doing. */
    boolean isWaitingForCaller();
}
