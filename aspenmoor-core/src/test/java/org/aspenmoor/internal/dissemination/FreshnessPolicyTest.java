package org.aspenmoor.internal.dissemination;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.RefusalReason;
import org.testng.annotations.Test;

public class FreshnessPolicyTest {
    private static final Duration BOUND = Duration.ofSeconds(18);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);
    private static final Optional<Duration> FRESH = Optional.of(Duration.ofSeconds(17));
    private static final Optional<Duration> OLD = Optional.of(Duration.ofMinutes(5));

    private final FreshnessPolicy policy = new FreshnessPolicy(BOUND, RETRY_AFTER);

    @Test
    public void should_serve_every_request_when_the_document_is_current() {
        assertEquals(policy.decide(FRESH, true, false, true), new FreshnessDecision.Serve());
    }

    // The store is unavailable for minutes, so the documents are no longer confirmed. Idempotent requests must still
    // be served, or every outage of the store would be an outage for all teams.
    @Test
    public void should_keep_serving_idempotent_requests_when_the_document_is_unconfirmed() {
        assertEquals(
                policy.decide(OLD, true, true, false), new FreshnessDecision.ServeUnconfirmed(Duration.ofMinutes(5)));
    }

    // An entry without a connection may hold an old document that still declares a booking idempotent. If the entry
    // served by it, the booking could run twice.
    @Test
    public void should_read_the_store_first_when_a_request_is_not_idempotent() {
        assertEquals(policy.decide(OLD, true, false, false), new FreshnessDecision.ReadStoreFirst());
        assertEquals(policy.decide(Optional.empty(), true, false, false), new FreshnessDecision.ReadStoreFirst());
    }

    @Test
    public void should_refuse_when_the_team_forbids_unconfirmed_documents() {
        assertEquals(
                policy.decide(OLD, true, true, true),
                new FreshnessDecision.Refuse(RefusalReason.DOCUMENT_UNCERTAIN, RETRY_AFTER));
    }

    // A process that has just started has no documents yet. Reporting that a service does not exist would be wrong,
    // and clients would not retry.
    @Test
    public void should_not_report_a_missing_service_when_the_documents_are_not_loaded_yet() {
        assertEquals(
                policy.decide(Optional.empty(), false, true, false),
                new FreshnessDecision.Refuse(RefusalReason.DOCUMENT_UNCERTAIN, RETRY_AFTER));
        assertEquals(
                policy.decide(FRESH, false, true, false),
                new FreshnessDecision.Refuse(RefusalReason.NO_SUCH_SERVICE, RETRY_AFTER));
    }
}
