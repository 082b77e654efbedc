package org.aspenmoor.internal.serving.limit;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class KnownLimitTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private KnownLimit limit;

    @BeforeMethod
    public void createLimit() {
        limit = new KnownLimit();
    }

    @Test
    public void should_hold_from_the_answer_that_states_it_until_one_states_none() {
        assertEquals(
                limit.apply(new LimitStatement.Limited(5), 1 * SECOND, 2 * SECOND),
                new LimitUpdate.Changed(Optional.of(5.0)));
        assertEquals(limit.requestsPerSecond(), Optional.of(5.0));

        assertEquals(
                limit.apply(new LimitStatement.Unlimited(), 3 * SECOND, 4 * SECOND),
                new LimitUpdate.Changed(Optional.empty()));
        assertEquals(limit.requestsPerSecond(), Optional.empty());
    }

    // Guards against a limit that an overtaken answer restores for longer than until the next answer.
    @Test
    public void should_end_with_the_next_answer_when_an_overtaken_one_has_restored_the_limit() {
        limit.apply(new LimitStatement.Limited(5), 1 * SECOND, 2 * SECOND);
        limit.apply(new LimitStatement.Unlimited(), 4 * SECOND, 5 * SECOND);

        limit.apply(new LimitStatement.Limited(5), 3 * SECOND, 6 * SECOND);
        limit.apply(new LimitStatement.Unlimited(), 6 * SECOND, 7 * SECOND);

        assertEquals(limit.requestsPerSecond(), Optional.empty());
    }

    // Guards against a limit that the report of an older statement restores after it has ended.
    @Test
    public void should_ignore_a_reported_limit_that_was_stated_to_an_earlier_request() {
        limit.apply(new LimitStatement.Unlimited(), 4 * SECOND, 5 * SECOND);

        limit.applyReported(reported(Optional.of(5.0), Duration.ofSeconds(3)), 6 * SECOND);

        assertEquals(limit.requestsPerSecond(), Optional.empty());
    }

    // Guards against a limit that is ignored because the answer that states it belongs to a request that took longer.
    @Test
    public void should_believe_the_limit_when_a_long_answer_states_it_after_a_short_one_has_stated_none() {
        limit.apply(new LimitStatement.Unlimited(), 3 * SECOND, 4 * SECOND);

        limit.apply(new LimitStatement.Limited(5), 1 * SECOND, 5 * SECOND);

        assertEquals(limit.requestsPerSecond(), Optional.of(5.0));
    }

    // Guards against a limit that seems to have ended because a request was sent before its answer could state it.
    @Test
    public void should_hold_on_until_an_answer_to_a_request_that_was_sent_afterwards_states_none() {
        limit.apply(new LimitStatement.Limited(5), 1 * SECOND, 5 * SECOND);

        limit.apply(new LimitStatement.Unlimited(), 3 * SECOND, 6 * SECOND);
        assertEquals(limit.requestsPerSecond(), Optional.of(5.0));

        limit.apply(new LimitStatement.Unlimited(), 7 * SECOND, 8 * SECOND);
        assertEquals(limit.requestsPerSecond(), Optional.empty());
    }

    @Test
    public void should_hold_on_when_a_statement_is_missing_or_unreadable() {
        limit.apply(new LimitStatement.Limited(5), 1 * SECOND, 2 * SECOND);

        limit.apply(new LimitStatement.Missing(), 3 * SECOND, 4 * SECOND);
        assertEquals(
                limit.apply(new LimitStatement.Unreadable("x"), 5 * SECOND, 6 * SECOND),
                new LimitUpdate.FirstUnreadable("x", Optional.of(5.0)));
        assertEquals(
                limit.apply(new LimitStatement.Unreadable("x"), 7 * SECOND, 8 * SECOND), new LimitUpdate.Unchanged());
        assertEquals(limit.requestsPerSecond(), Optional.of(5.0));
    }

    @Test
    public void should_apply_what_another_entry_reports_only_when_it_is_newer() {
        limit.apply(new LimitStatement.Limited(5), 4 * SECOND, 5 * SECOND);

        limit.applyReported(reported(Optional.empty(), Duration.ofSeconds(3)), 6 * SECOND);
        assertEquals(limit.requestsPerSecond(), Optional.of(5.0));

        limit.applyReported(reported(Optional.of(2.0), Duration.ofSeconds(1)), 6 * SECOND);
        assertEquals(limit.requestsPerSecond(), Optional.of(2.0));
    }

    // Guards against statements that are ignored without a trace in the log.
    @Test
    public void should_say_once_after_each_change_that_an_outdated_statement_is_ignored() {
        limit.apply(new LimitStatement.Limited(5), 3 * SECOND, 4 * SECOND);

        assertEquals(
                limit.applyReported(reported(Optional.empty(), Duration.ofSeconds(4)), 5 * SECOND),
                new LimitUpdate.Outdated(Optional.empty(), Optional.of(5.0)));
        assertEquals(
                limit.applyReported(reported(Optional.empty(), Duration.ofSeconds(5)), 6 * SECOND),
                new LimitUpdate.Unchanged());
    }

    // Guards against a limit that entries keep alive by reporting it to each other after its server has ended it.
    @Test
    public void should_not_take_the_echo_of_a_statement_for_a_newer_one() {
        limit.apply(new LimitStatement.Limited(5), 1 * SECOND, 2 * SECOND);
        limit.applyReported(reported(Optional.of(5.0), Duration.ofSeconds(1)), 5 * SECOND);

        limit.apply(new LimitStatement.Unlimited(), 3 * SECOND, 6 * SECOND);

        assertEquals(limit.requestsPerSecond(), Optional.empty());
    }

    @Test
    public void should_be_reported_while_it_holds_and_for_a_while_after_its_end() {
        assertEquals(limit.reportableAge(1 * SECOND), Optional.empty());

        limit.apply(new LimitStatement.Limited(5), 1 * SECOND, 2 * SECOND);
        assertEquals(limit.reportableAge(90 * SECOND), Optional.of(Duration.ofSeconds(89)));

        limit.apply(new LimitStatement.Unlimited(), 90 * SECOND, 91 * SECOND);
        assertEquals(limit.reportableAge(92 * SECOND), Optional.of(Duration.ofSeconds(2)));
        assertEquals(limit.reportableAge(97 * SECOND), Optional.empty());
    }

    private static StatedLimit reported(Optional<Double> requestsPerSecond, Duration age) {
        return new StatedLimit("server", 1, requestsPerSecond, age, new ShareClaim(1, 0, 1), List.of());
    }
}
