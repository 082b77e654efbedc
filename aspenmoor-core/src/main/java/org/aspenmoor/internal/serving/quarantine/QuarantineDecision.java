package org.aspenmoor.internal.serving.quarantine;

import java.time.Duration;

/** Whether a request, or one with a certain part of a prompt, may be sent to a server. */
public sealed interface QuarantineDecision {
    /** No server is known to have terminated while processing the suspect since its last answer. */
    record Clear() implements QuarantineDecision {}

    /**
     * Servers terminated while processing the suspect; it may still be sent.
     *
     * @param terminations the number of terminations
     */
    record Suspected(int terminations) implements QuarantineDecision {
        /** Returns whether only one request may be sent at a time, to find out whether it terminates its server too. */
        public boolean trialOnly() {
            return terminations >= Quarantine.MIN_TERMINATIONS;
        }
    }

    /**
     * The suspect must not be sent to any server.
     *
     * @param terminations the number of server terminations
     * @param remaining the remaining quarantine time
     */
    record Quarantined(int terminations, Duration remaining) implements QuarantineDecision {}
}
