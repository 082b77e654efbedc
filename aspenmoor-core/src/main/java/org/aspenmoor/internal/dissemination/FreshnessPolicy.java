package org.aspenmoor.internal.dissemination;

import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.RefusalReason;

/**
 * Decides how to handle a request when the process may not hold the current document.
 *
 * <p>Idempotent requests are served by the newest known document. Refusing them would turn every store outage and every
 * partition between regions into an outage for all teams, to protect against a change that most likely was not made. A
 * non-idempotent request needs the store for its claim in any case, so reading the document there first costs one read
 * and refuses nothing that could have been served.
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
     * @param confirmedAge the time since the process was last confirmed to hold every accepted document; empty if never
     * @param documentKnown whether the process holds any revision of the service's document
     * @param idempotent whether the request may run more than once
     * @param teamForbidsUnconfirmed whether the team prefers a refusal to being served by an unconfirmed document
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

    /** Returns whether documents that were last confirmed this long ago count as current. */
    public boolean isCurrent(Optional<Duration> confirmedAge) {
        return confirmedAge.filter(age -> age.compareTo(maxUnconfirmedAge) <= 0).isPresent();
    }
}
