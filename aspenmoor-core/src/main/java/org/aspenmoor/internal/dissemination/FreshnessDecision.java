package org.aspenmoor.internal.dissemination;

import java.time.Duration;
import org.aspenmoor.RefusalReason;

/** What to do with a request, given how sure the process is of its document. */
public sealed interface FreshnessDecision {
    /** The document is current within the bound: serve. */
    record Serve() implements FreshnessDecision {}

    /**
     * Serve by the newest known document, and say in metrics and dumps that it may be old.
     *
     * @param unconfirmedFor for how long nothing has confirmed it
     */
    record ServeUnconfirmed(Duration unconfirmedFor) implements FreshnessDecision {}

    /** Read the document from the store first; where the store does not answer, refuse as not run. */
    record ReadStoreFirst() implements FreshnessDecision {}

    /**
     * Refuse as not run.
     *
     * @param reason what to tell the caller
     * @param comeBackAfter how long the caller should wait
     */
    record Refuse(RefusalReason reason, Duration retryAfter) implements FreshnessDecision {}
}
