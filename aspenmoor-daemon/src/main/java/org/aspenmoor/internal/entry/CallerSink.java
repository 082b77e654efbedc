package org.aspenmoor.internal.entry;

import org.aspenmoor.Outcome;

/** Receives the answer to a request on behalf of its caller. Called by the event loop thread; no method blocks. */
public interface CallerSink {
    /** Receives the next text of a generation. */
    void onText(String text);

    /** Called when a generation is complete and all of its text has been passed to {@link #onText}. */
    void onGenerationComplete(String finishReason, int promptTokens, int outputTokens);

    /** Receives the complete answer of a plain service. */
    void onPlainAnswer(PlainAnswer answer);

    /** Called when the request is refused and has not run. */
    void onRefused(Outcome.NotRun refusal);

    /** Called when it is unknown whether the request ran, or when a partly delivered answer cannot be completed. */
    void onUnknown(Outcome.Unknown unknown);

    /** Returns the number of pieces consumed by the caller since the last call; each frees credit for one more. */
    int takeConsumedPieces();

    /**
     * Returns whether pieces are waiting to be read by the caller, so that a lack of progress is not due to the engine.
     */
    boolean isWaitingForCaller();
}
