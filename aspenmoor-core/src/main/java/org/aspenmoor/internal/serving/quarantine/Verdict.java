package org.aspenmoor.internal.serving.quarantine;

import java.time.Duration;

/** Whether a request may be sent to a server, based on known server terminations. */
public sealed interface Verdict {
    /** No server is known to have terminated while processing the request since its last answer. */
    record Clear() implements Verdict {}

    /**
     * Servers terminated while processing the request; it may still be sent.
     *
     * @param ends the number of terminations
     */
    record Suspected(int ends) implements Verdict {}

    /**
     * The request must not be sent to any server.
     *
     * @param ends the number of server terminations
     * @param left the remaining quarantine time
     */
    record Quarantined(int ends, Duration left) implements Verdict {}
}
