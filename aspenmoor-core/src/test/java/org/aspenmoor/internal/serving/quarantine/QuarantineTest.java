package org.aspenmoor.internal.serving.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class QuarantineTest {
    private static final SuspectDigest REQUEST = new SuspectDigest(1, 2);
    private static final Duration NO_AGE = Duration.ZERO;

    private Quarantine quarantine;

    @BeforeMethod
    public void start() {
        quarantine = new Quarantine(suspect -> Duration.ZERO, 0);
    }

    @Test
    public void should_clear_a_request_when_no_server_terminated() {
        assertEquals(quarantine.decide(REQUEST, 0), new QuarantineDecision.Clear());
    }

    @Test
    public void should_only_suspect_a_request_when_one_server_terminated() {
        terminated("one");

        assertEquals(quarantine.decide(REQUEST, 0), new QuarantineDecision.Suspected(1));
    }

    @Test
    public void should_quarantine_a_request_when_two_servers_terminated() {
        terminated("one", "two");

        assertEquals(
                quarantine.decide(REQUEST, 0),
                new QuarantineDecision.Quarantined(2, Quarantine.QUARANTINE_PERIODS.get(0)));
    }

    // Guards against counting one termination several times when it is reported by several entries or in several
    // reports.
    @Test
    public void should_count_a_termination_once_when_it_is_reported_repeatedly() {
        terminated("one", "one", "one", "one");

        assertEquals(quarantine.decide(REQUEST, 0), new QuarantineDecision.Suspected(1));
    }

    @Test
    public void should_count_each_incarnation_when_a_server_restarts() {
        for (long startedAt = 1; startedAt <= 3; startedAt++) {
            quarantine.terminationReported(
                    new ServerTermination(REQUEST, new ServerIncarnation("one", startedAt), NO_AGE, false), 0);
        }

        assertTrue(quarantine.decide(REQUEST, 0) instanceof QuarantineDecision.Quarantined);
    }

    // Guards against refusing a request that servers answer because it was on several servers that terminated.
    @Test
    public void should_clear_a_request_when_it_is_answered() {
        terminated("one", "two");
        assertTrue(quarantine.requestAnswered(REQUEST, 0));

        assertFalse(quarantine.requestAnswered(REQUEST, 0));
        assertEquals(quarantine.decide(REQUEST, 0), new QuarantineDecision.Clear());
    }

    // Guards against refusing a frequently repeated request because it is always on some server that terminates.
    @Test
    public void should_not_suspect_a_request_when_it_was_answered_recently() {
        quarantine.requestAnswered(REQUEST, 0);
        terminated("one", "two", "three");
        quarantine.serverTerminated(REQUEST, new ServerIncarnation("four", 1), 0);

        assertEquals(quarantine.decide(REQUEST, 0), new QuarantineDecision.Clear());
    }

    // Guards against a request that is never withheld from servers because it was answered once, long ago.
    @Test
    public void should_suspect_a_request_when_its_last_answer_is_long_past() {
        quarantine.requestAnswered(REQUEST, 0);
        long later = RecentAnswers.RETENTION.plusSeconds(1).toNanos();
        for (String server : List.of("one", "two", "three")) {
            quarantine.serverTerminated(REQUEST, new ServerIncarnation(server, 1), later);
        }

        assertTrue(quarantine.decide(REQUEST, later) instanceof QuarantineDecision.Quarantined);
    }

    // Guards against entries that suspect a request because only another entry knows that it was answered.
    @Test
    public void should_report_a_termination_as_cleared_when_its_request_was_answered() {
        quarantine.requestAnswered(REQUEST, 0);
        terminated("one");

        assertTrue(quarantine.takeNextReport(0).getFirst().cleared());
    }

    // Guards against counting a termination again when an entry that does not know of the answer reports it late.
    @Test
    public void should_not_count_a_cleared_termination_when_it_is_reported_again() {
        terminated("one");
        quarantine.requestAnswered(REQUEST, 0);
        terminated("one");

        assertEquals(quarantine.decide(REQUEST, 0), new QuarantineDecision.Clear());
    }

    @Test
    public void should_clear_a_termination_when_another_entry_reports_it_cleared() {
        terminated("one", "two");

        assertTrue(quarantine.terminationReported(
                new ServerTermination(REQUEST, new ServerIncarnation("one", 1), NO_AGE, true), 0));
        assertEquals(quarantine.decide(REQUEST, 0), new QuarantineDecision.Suspected(1));
    }

    @Test
    public void should_release_a_request_after_its_period_and_quarantine_it_longer_when_another_server_terminates() {
        terminated("one", "two");
        long later = Quarantine.QUARANTINE_PERIODS.get(0).toNanos();
        assertEquals(quarantine.decide(REQUEST, later), new QuarantineDecision.Suspected(2));

        quarantine.terminationReported(
                new ServerTermination(REQUEST, new ServerIncarnation("three", 1), NO_AGE, false), later);

        assertEquals(
                quarantine.decide(REQUEST, later),
                new QuarantineDecision.Quarantined(3, Quarantine.QUARANTINE_PERIODS.get(1)));
    }

    // Guards against sending a fatal request too often in the hours after its third termination, once per
    // quarantine period.
    @Test
    public void should_run_a_fatal_request_at_most_three_times_when_a_day_passes_after_its_third_termination() {
        terminated("one", "two", "three");
        int runs = 0;
        for (Duration time = Duration.ZERO; time.toHours() < 16; time = time.plusSeconds(1)) {
            if (!(quarantine.decide(REQUEST, time.toNanos()) instanceof QuarantineDecision.Quarantined)) {
                runs++;
                quarantine.serverTerminated(REQUEST, new ServerIncarnation("later", runs), time.toNanos());
            }
        }

        assertTrue(runs <= 3, "runs: " + runs);
    }

    // Guards against a termination that never expires because entries keep reporting it to each other.
    @Test
    public void should_keep_the_age_of_a_termination_when_it_is_reported_again() {
        quarantine.terminationReported(
                new ServerTermination(REQUEST, new ServerIncarnation("one", 1), Duration.ofMinutes(50), false), 0);
        terminated("one");

        assertEquals(quarantine.terminations(REQUEST, 0).getFirst().age(), Duration.ofMinutes(50));
    }

    @Test
    public void should_forget_terminations_when_they_exceed_the_retention() {
        terminated("one", "two", "three");
        quarantine.expire(Quarantine.RETENTION.plusSeconds(1).toNanos());

        assertTrue(quarantine.isEmpty());
        assertFalse(quarantine.terminationReported(
                new ServerTermination(
                        REQUEST, new ServerIncarnation("one", 1), Quarantine.RETENTION.plusSeconds(1), false),
                0));
    }

    // Guards against servers that terminate under several requests at once when a quarantine period has ended.
    @Test
    public void should_withhold_other_requests_while_one_tries_a_suspect() {
        terminated("one", "two");
        long afterPeriod = Quarantine.QUARANTINE_PERIODS.get(0).toNanos();

        quarantine.beginTrial(REQUEST, "first", afterPeriod);

        assertEquals(quarantine.decide(REQUEST, "first", afterPeriod), new QuarantineDecision.Suspected(2));
        assertTrue(quarantine.decide(REQUEST, "second", afterPeriod) instanceof QuarantineDecision.Quarantined);
    }

    // Guards against a suspect that stays away although the request that was to try it has not been sent.
    @Test
    public void should_let_another_request_try_when_a_trial_has_shown_nothing() {
        terminated("one", "two");
        long afterPeriod = Quarantine.QUARANTINE_PERIODS.get(0).toNanos();
        quarantine.beginTrial(REQUEST, "first", afterPeriod);

        quarantine.endTrial(REQUEST, "first");

        assertEquals(quarantine.decide(REQUEST, "second", afterPeriod), new QuarantineDecision.Suspected(2));
    }

    // Guards against trials at all entries at once.
    @Test
    public void should_wait_for_its_turn_when_a_quarantine_period_has_ended() {
        quarantine = new Quarantine(suspect -> Duration.ofSeconds(4), 0);
        terminated("one", "two");

        assertEquals(
                quarantine.decide(REQUEST, Quarantine.QUARANTINE_PERIODS.get(0).toNanos()),
                new QuarantineDecision.Quarantined(2, Duration.ofSeconds(4)));
    }

    // Guards against a part in use that is refused because its requests were on a server when it terminated.
    @Test
    public void should_not_accuse_a_part_when_it_was_answered_lately() {
        long now = Quarantine.MIN_OBSERVATION.toNanos();
        quarantine.partAnswered(REQUEST, now);

        quarantine.serverTerminatedOnPart(REQUEST, new ServerIncarnation("one", 1), now);

        assertTrue(quarantine.isEmpty());
    }

    // Guards against parts in use that are refused because an entry that has just started knows of no answers.
    @Test
    public void should_not_accuse_a_part_right_after_the_start() {
        quarantine.serverTerminatedOnPart(
                REQUEST, new ServerIncarnation("one", 1), Quarantine.MIN_OBSERVATION.toNanos() - 1);

        assertTrue(quarantine.isEmpty());
    }

    @Test
    public void should_accuse_a_part_when_it_was_not_answered() {
        long now = Quarantine.MIN_OBSERVATION.toNanos();

        quarantine.serverTerminatedOnPart(REQUEST, new ServerIncarnation("one", 1), now);

        assertEquals(quarantine.decide(REQUEST, now), new QuarantineDecision.Suspected(1));
    }

    @Test
    public void should_return_each_change_once_when_a_request_enters_or_leaves_quarantine() {
        terminated("one", "two", "three");
        QuarantineDecision.Quarantined decision =
                new QuarantineDecision.Quarantined(3, Quarantine.QUARANTINE_PERIODS.get(1));

        assertEquals(quarantine.collectChanges(0), List.of(new QuarantineChange(REQUEST, Optional.of(decision))));
        assertEquals(quarantine.collectChanges(0), List.of());
        assertEquals(quarantine.quarantinedCount(), 1);
        quarantine.requestAnswered(REQUEST, 0);
        assertEquals(quarantine.collectChanges(0), List.of(new QuarantineChange(REQUEST, Optional.empty())));
        assertEquals(quarantine.quarantinedCount(), 0);
    }

    // Guards against a caller who sends new fatal requests until the quarantined ones are evicted.
    @Test
    public void should_keep_the_requests_with_the_most_terminations_when_there_are_too_many() {
        terminated("one", "two", "three");
        for (int other = 0; other < 2 * Quarantine.MAX_SUSPECTS; other++) {
            SuspectDigest request = new SuspectDigest(other, 7);
            quarantine.terminationReported(
                    new ServerTermination(request, new ServerIncarnation("server-" + other, 1), NO_AGE, false),
                    other + 1);
        }

        assertTrue(quarantine.decide(REQUEST, 0) instanceof QuarantineDecision.Quarantined);
        assertEquals(quarantine.decide(new SuspectDigest(0, 7), 0), new QuarantineDecision.Clear());
    }

    private void terminated(String... serverIds) {
        for (String serverId : serverIds) {
            quarantine.terminationReported(
                    new ServerTermination(REQUEST, new ServerIncarnation(serverId, 1), NO_AGE, false), 0);
        }
    }
}
