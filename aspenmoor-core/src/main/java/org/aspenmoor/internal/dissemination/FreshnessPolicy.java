package org.aspenmoor.internal.dissemination;

import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.RefusalReason;

/**
 * What a process does that cannot tell whether its document is current.
 *
 * <p>Work that may run twice goes on by the newest known document: refusing it would turn each store outage and each
 * partition between regions into an outage of every team, to guard against a change that most likely was not made. A
 * non-idempotent request needs the store for its claim in any case, so reading the document there first costs it one read
 * and loses nothing that would have been served.
 */
public final class FreshnessPolicy {
    private static final Duration NEVER = Duration.ofSeconds(Long.MAX_VALUE);

    private final Duration maxUnconfirmedAge;
    private final Duration retryAfter;

    public FreshnessPolicy(Duration maxUnconfirmedAge, Duration retryAfter) {
        this.maxUnconfirmedAge = maxUnconfirmedAge;
        this.retryAfter = retryAfter;
    }

    /**
     * Decides for one request.
     *
     * @param confirmedAge how long ago the process was known to hold every accepted document; empty for never
     * @param documentKnown whether it holds any revision of the service's document
     * @param idempotent whether the request may run more than once
     * @param teamForbidsUncertain whether the team would rather be refused than served by an old document
     */
    public FreshnessDecision decide(
            Optional<Duration> confirmedAge,
            boolean documentKnown,
            boolean idempotent,
            boolean teamForbidsUnconfirmed) {
        boolean current = isCurrent(confirmedAge);
        if (!documentKnown) {
            RefusalReason reason = current ? RefusalReason.NO_SUCH_SERVICE : RefusalReason.DOCUMENT_UNCERTAIN;
            return new FreshnessDecision.Refuse(reason, retryAfter);
        }
        if (current) {
            return new FreshnessDecision.Serve();
        }
        if (teamForbidsUnconfirmed) {
            return new FreshnessDecision.Refuse(RefusalReason.DOCUMENT_UNCERTAIN, retryAfter);
        }
        if (!idempotent) {
            return new FreshnessDecision.ReadStoreFirst();
        }
        return new FreshnessDecision.ServeUnconfirmed(confirmedAge.orElse(NEVER));
    }

    /** Says whether a table confirmed this long ago counts as current. */
    public boolean isCurrent(Optional<Duration> confirmedAge) {
        return confirmedAge.filter(age -> age.compareTo(maxUnconfirmedAge) <= 0).isPresent();
    }
}
