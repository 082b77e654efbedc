package org.aspenmoor.internal.dissemination;

import java.time.Duration;
import org.aspenmoor.RefusalReason;

/** What to do with a request, given how recently its document was confirmed to be current. */
public sealed interface FreshnessDecision {
    /** Serve: the document was confirmed to be current within the allowed age. */
    record Serve() implements FreshnessDecision {}

    /**
     * Serve by the newest known document and report in metrics and dumps that it may be outdated.
     *
     * @param unconfirmedFor the time since the document was last confirmed
     */
    record ServeUnconfirmed(Duration unconfirmedFor) implements FreshnessDecision {}

    /** Read the document from the store first; if the store does not answer, refuse the request as not run. */
    record ReadStoreFirst() implements FreshnessDecision {}

    /**
     * Refuse the request as not run.
     *
     * @param reason the reason reported to the caller
     * @param retryAfter how long the caller should wait before a retry
     */
    record Refuse(RefusalReason reason, Duration retryAfter) implements FreshnessDecision {}
}
