package org.aspenmoor.internal.dissemination;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.RefusalReason;
import org.testng.annotations.Test;

public class CurrencyRuleTest {
    private static final Duration BOUND = Duration.ofSeconds(18);
    private static final Duration COME_BACK = Duration.ofSeconds(2);
    private static final Optional<Duration> FRESH = Optional.of(Duration.ofSeconds(17));
    private static final Optional<Duration> OLD = Optional.of(Duration.ofMinutes(5));

    private final CurrencyRule rule = new CurrencyRule(BOUND, COME_BACK);

    @Test
    public void should_serve_everything_while_current() {
        assertEquals(rule.decide(FRESH, true, false, true), new CurrencyDecision.Serve());
    }

    // The store is away for minutes and nothing confirms the documents any more. Drafts must go on, or every outage of
    // the
    // store would be one of every team.
    @Test
    public void should_serve_idempotent_work_on_without_confirmation() {
        assertEquals(rule.decide(OLD, true, true, false), new CurrencyDecision.ServeUncertain(Duration.ofMinutes(5)));
    }

    // An entry that is cut off may hold a document that still calls a booking repeatable. Run by it, a narrator would
    // be
    // paid twice.
    @Test
    public void should_read_the_document_before_a_non_idempotent_request() {
        assertEquals(rule.decide(OLD, true, false, false), new CurrencyDecision.ReadFirst());
        assertEquals(rule.decide(Optional.empty(), true, false, false), new CurrencyDecision.ReadFirst());
    }

    @Test
    public void should_refuse_where_the_team_forbids_old_documents() {
        assertEquals(
                rule.decide(OLD, true, true, true),
                new CurrencyDecision.Refuse(RefusalReason.DOCUMENT_UNCERTAIN, COME_BACK));
    }

    // A process that has just started has no documents yet. Telling a team that its service does not exist would be a
    // lie
    // that clients do not retry.
    @Test
    public void should_not_deny_a_service_before_it_knows_the_documents() {
        assertEquals(
                rule.decide(Optional.empty(), false, true, false),
                new CurrencyDecision.Refuse(RefusalReason.DOCUMENT_UNCERTAIN, COME_BACK));
        assertEquals(
                rule.decide(FRESH, false, true, false),
                new CurrencyDecision.Refuse(RefusalReason.NO_SUCH_SERVICE, COME_BACK));
    }
}
