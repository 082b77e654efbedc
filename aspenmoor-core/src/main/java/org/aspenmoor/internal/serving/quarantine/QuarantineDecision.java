package org.aspenmoor.internal.serving.quarantine;

import java.time.Duration;

/** Whether a request may be sent to a server, based on known server terminations. */
public sealed interface QuarantineDecision {
    /** No server is known to have terminated while processing the request since its last answer. */
    record Clear() implements QuarantineDecision {}

    /**
     * Servers terminated while processing the request; it may still be sent.
     *
     * @param terminations the number of terminations
     */
    record Suspected(int terminations) implements QuarantineDecision {}

    /**
     * The request must not be sent to any server.
     *
     * @param terminations the number of server terminations
     * @param remaining the remaining quarantine time
     */
    record Quarantined(int terminations, Duration remaining) implements QuarantineDecision {}
}
