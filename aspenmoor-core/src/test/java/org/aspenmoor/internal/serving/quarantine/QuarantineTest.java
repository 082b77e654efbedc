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
    private static final RequestDigest REQUEST = new RequestDigest(1, 2);
    private static final Duration NOW = Duration.ZERO;

    private Quarantine quarantine;

    @BeforeMethod
    public void start() {
        quarantine = new Quarantine();
    }

    @Test
    public void should_know_nothing_of_a_request_that_ended_nothing() {
        assertEquals(quarantine.verdict(REQUEST, 0), new Verdict.Clear());
    }

    @Test
    public void should_let_a_request_run_while_one_server_has_ended_under_it() {
        ended("one");

        assertEquals(quarantine.verdict(REQUEST, 0), new Verdict.Suspected(1));
    }

    @Test
    public void should_keep_a_request_from_servers_once_two_have_ended_under_it() {
        ended("one", "two");

        assertEquals(quarantine.verdict(REQUEST, 0), new Verdict.Quarantined(2, Quarantine.TERMS.get(0)));
    }

    // Guards against counting one termination several times when it is reported by several entries or in several
    // reports.
    @Test
    public void should_count_an_end_once_however_often_it_is_told() {
        ended("one", "one", "one", "one");

        assertEquals(quarantine.verdict(REQUEST, 0), new Verdict.Suspected(1));
    }

    @Test
    public void should_count_each_start_of_a_server() {
        for (long startedAt = 1; startedAt <= 3; startedAt++) {
            quarantine.heard(new ServerEnd(REQUEST, new ServerStart("one", startedAt), NOW, false), 0);
        }

        assertTrue(quarantine.verdict(REQUEST, 0) instanceof Verdict.Quarantined);
    }

    // Guards against refusing a request that servers answer because it was on several servers that terminated.
    @Test
    public void should_excuse_a_request_that_is_answered() {
        ended("one", "two");
        assertTrue(quarantine.answered(REQUEST, 0));

        assertFalse(quarantine.answered(REQUEST, 0));
        assertEquals(quarantine.verdict(REQUEST, 0), new Verdict.Clear());
    }

    // Guards against refusing a frequently repeated request because it is always on some server that terminates.
    @Test
    public void should_not_suspect_a_request_that_was_answered_a_moment_before() {
        quarantine.answered(REQUEST, 0);
        ended("one", "two", "three");
        quarantine.serverEnded(REQUEST, new ServerStart("four", 1), 0);

        assertEquals(quarantine.verdict(REQUEST, 0), new Verdict.Clear());
    }

    // Guards against a request that is never withheld from servers because it was answered once, long ago.
    @Test
    public void should_suspect_a_request_whose_last_answer_is_long_past() {
        quarantine.answered(REQUEST, 0);
        long later = RecentAnswers.TIME.plusSeconds(1).toNanos();
        for (String server : List.of("one", "two", "three")) {
            quarantine.serverEnded(REQUEST, new ServerStart(server, 1), later);
        }

        assertTrue(quarantine.verdict(REQUEST, later) instanceof Verdict.Quarantined);
    }

    // Guards against entries that suspect a request because only another entry knows that it was answered.
    @Test
    public void should_tell_the_others_that_a_request_is_excused() {
        quarantine.answered(REQUEST, 0);
        ended("one");

        assertTrue(quarantine.takeNews(0).getFirst().excused());
    }

    // Guards against counting a termination again when an entry that does not know of the answer reports it late.
    @Test
    public void should_not_count_an_excused_end_again() {
        ended("one");
        quarantine.answered(REQUEST, 0);
        ended("one");

        assertEquals(quarantine.verdict(REQUEST, 0), new Verdict.Clear());
    }

    @Test
    public void should_take_an_excuse_from_another_entry() {
        ended("one", "two");

        assertTrue(quarantine.heard(new ServerEnd(REQUEST, new ServerStart("one", 1), NOW, true), 0));
        assertEquals(quarantine.verdict(REQUEST, 0), new Verdict.Suspected(1));
    }

    @Test
    public void should_let_a_request_run_again_after_its_term_and_keep_it_longer_after_the_next_end() {
        ended("one", "two");
        long later = Quarantine.TERMS.get(0).toNanos();
        assertEquals(quarantine.verdict(REQUEST, later), new Verdict.Suspected(2));

        quarantine.heard(new ServerEnd(REQUEST, new ServerStart("three", 1), NOW, false), later);

        assertEquals(quarantine.verdict(REQUEST, later), new Verdict.Quarantined(3, Quarantine.TERMS.get(1)));
    }

    // Guards against sending a fatal request too often in the hours after its third termination, once per
    // quarantine period.
    @Test
    public void should_run_a_fatal_request_three_times_at_most_in_the_day_after_its_third_end() {
        ended("one", "two", "three");
        int runs = 0;
        for (Duration time = Duration.ZERO; time.toHours() < 16; time = time.plusSeconds(1)) {
            if (!(quarantine.verdict(REQUEST, time.toNanos()) instanceof Verdict.Quarantined)) {
                runs++;
                quarantine.serverEnded(REQUEST, new ServerStart("later", runs), time.toNanos());
            }
        }

        assertTrue(runs <= 3, "runs: " + runs);
    }

    // Guards against a termination that never expires because entries keep reporting it to each other.
    @Test
    public void should_not_let_an_end_grow_younger_when_it_is_told_again() {
        quarantine.heard(new ServerEnd(REQUEST, new ServerStart("one", 1), Duration.ofMinutes(50), false), 0);
        ended("one");

        assertEquals(quarantine.ends(REQUEST, 0).getFirst().age(), Duration.ofMinutes(50));
    }

    @Test
    public void should_forget_ends_that_are_too_old() {
        ended("one", "two", "three");
        quarantine.expire(Quarantine.RETENTION.plusSeconds(1).toNanos());

        assertTrue(quarantine.empty());
        assertFalse(quarantine.heard(
                new ServerEnd(REQUEST, new ServerStart("one", 1), Quarantine.RETENTION.plusSeconds(1), false), 0));
    }

    @Test
    public void should_tell_once_who_comes_in_and_who_leaves() {
        ended("one", "two", "three");
        Verdict.Quarantined verdict = new Verdict.Quarantined(3, Quarantine.TERMS.get(1));

        assertEquals(quarantine.review(0), List.of(new QuarantineChange(REQUEST, Optional.of(verdict))));
        assertEquals(quarantine.review(0), List.of());
        assertEquals(quarantine.size(), 1);
        quarantine.answered(REQUEST, 0);
        assertEquals(quarantine.review(0), List.of(new QuarantineChange(REQUEST, Optional.empty())));
        assertEquals(quarantine.size(), 0);
    }

    // Guards against a caller who sends new fatal requests until the quarantined ones are evicted.
    @Test
    public void should_keep_those_with_the_most_ends_where_there_are_too_many() {
        ended("one", "two", "three");
        for (int other = 0; other < 2 * Quarantine.MOST_SUSPECTS; other++) {
            RequestDigest request = new RequestDigest(other, 7);
            quarantine.heard(new ServerEnd(request, new ServerStart("server-" + other, 1), NOW, false), other + 1);
        }

        assertTrue(quarantine.verdict(REQUEST, 0) instanceof Verdict.Quarantined);
        assertEquals(quarantine.verdict(new RequestDigest(0, 7), 0), new Verdict.Clear());
    }

    private void ended(String... servers) {
        for (String server : servers) {
            quarantine.heard(new ServerEnd(REQUEST, new ServerStart(server, 1), NOW, false), 0);
        }
    }
}
