package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

public class AttemptTrackerTest {
    private static final int SCHEDULES = 20_000;
    private static final int STEPS = 6;

    @Test
    public void should_refuse_truthfully_while_no_server_was_reached() {
        AttemptTracker account = new AttemptTracker(RetryRule.AT_MOST_ONCE, 1);

        assertEquals(account.stepWithoutRetry(), NextStep.REFUSE);
        account.attemptStarted();
        assertEquals(account.attemptEnded(new AttemptEnd.NeverSent()), NextStep.REPEAT);
        assertEquals(account.stepWithoutRetry(), NextStep.REFUSE);
    }

    // A booking reaches a server and the connection breaks before the answer. Were the caller told that it has not run,
    // it would book again and the narrator would be paid twice.
    @Test
    public void should_never_call_a_lost_booking_not_run() {
        AttemptTracker account = new AttemptTracker(RetryRule.AT_MOST_ONCE, 3);
        account.attemptStarted();

        assertEquals(account.attemptEnded(new AttemptEnd.Lost()), NextStep.REPORT_UNKNOWN);
        assertEquals(account.stepWithoutRetry(), NextStep.REPORT_UNKNOWN);
        assertTrue(account.mayHaveRun());
    }

    // The time of a request runs out while a server has it; the server may still run it.
    @Test
    public void should_count_an_open_attempt_as_possibly_run() {
        AttemptTracker account = new AttemptTracker(RetryRule.AT_MOST_ONCE, 1);
        account.attemptStarted();

        assertEquals(account.stepWithoutRetry(), NextStep.REPORT_UNKNOWN);
    }

    // Engines turn requests away after their prompts were computed, and each prompt is computed again for the next try.
    // Were
    // that free, a fleet in trouble would get a multiple of its load and recover late.
    @Test
    public void should_count_all_but_the_first_computed_prompt_as_repeats() {
        AttemptTracker account = new AttemptTracker(RetryRule.AT_MOST_ONCE, 1);
        account.promptComputed();
        assertFalse(account.nextIsRetry());

        account.attemptStarted();
        account.attemptEnded(new AttemptEnd.Misdirected());
        assertTrue(account.nextIsRetry());
        assertFalse(account.mayHaveRun());
    }

    @Test
    public void should_count_a_prompt_that_an_engine_did_not_compute_as_an_arrival() {
        AttemptTracker neverSent = new AttemptTracker(RetryRule.AT_MOST_ONCE, 1);
        neverSent.promptFailed(new AttemptEnd.NeverSent());
        AttemptTracker rejected = new AttemptTracker(RetryRule.AT_MOST_ONCE, 1);
        rejected.promptFailed(new AttemptEnd.NotExecuted());

        assertFalse(neverSent.nextIsRetry());
        assertTrue(rejected.nextIsRetry());
        assertFalse(rejected.mayHaveRun());
    }

    @Test
    public void should_repeat_an_idempotent_request_up_to_its_servers() {
        AttemptTracker account = new AttemptTracker(RetryRule.REPEATABLE, 2);
        account.attemptStarted();
        assertEquals(account.attemptEnded(new AttemptEnd.Lost()), NextStep.REPEAT);
        account.attemptStarted();
        assertEquals(account.attemptEnded(new AttemptEnd.Lost()), NextStep.REPORT_UNKNOWN);
    }

    @Test
    public void should_pass_the_failure_of_a_request_on_that_may_run_once() {
        AttemptTracker account = new AttemptTracker(RetryRule.AT_MOST_ONCE, 2);
        account.attemptStarted();

        assertEquals(account.attemptEnded(new AttemptEnd.Failed()), NextStep.PASS_FAILURE_ON);
    }

    @Test
    public void should_count_only_arrivals_as_repeats() {
        AttemptTracker account = new AttemptTracker(RetryRule.AT_MOST_ONCE, 1);
        account.attemptStarted();
        account.attemptEnded(new AttemptEnd.NeverSent());
        assertFalse(account.nextIsRetry());
        account.attemptStarted();
        account.attemptEnded(new AttemptEnd.NotExecuted());
        assertTrue(account.nextIsRetry());
    }

    @Test
    public void should_give_up_after_several_servers_that_take_nothing() {
        AttemptTracker account = new AttemptTracker(RetryRule.REPEATABLE, 9);
        NextStep last = NextStep.REPEAT;
        int attempts = 0;
        while (last == NextStep.REPEAT) {
            account.attemptStarted();
            last = account.attemptEnded(new AttemptEnd.NotExecuted());
            attempts++;
        }
        assertEquals(last, NextStep.REFUSE);
        assertEquals(attempts, 4);
    }

    @Test
    public void should_not_take_two_attempts_at_once() {
        AttemptTracker account = new AttemptTracker(RetryRule.REPEATABLE, 2);
        account.attemptStarted();

        assertThrows(IllegalStateException.class, () -> account.attemptStarted());
    }

    // Servers crash, refuse and lose answers in any order. Whatever comes, a booking reaches at most one server that
    // may
    // run it, and "not run" is only said where none has.
    @Test
    public void should_keep_its_promises_under_any_schedule() {
        Random random = new Random(7);
        for (int schedule = 0; schedule < SCHEDULES; schedule++) {
            RetryRule rule = RetryRule.values()[random.nextInt(RetryRule.values().length)];
            int mostBackends = 1 + random.nextInt(3);
            AttemptTracker account = new AttemptTracker(rule, mostBackends);
            int mayHaveRun = 0;
            NextStep step = NextStep.REPEAT;
            for (int attempt = 0; attempt < STEPS && step == NextStep.REPEAT; attempt++) {
                account.attemptStarted();
                AttemptEnd end = anyEnd(random);
                boolean ran = end instanceof AttemptEnd.Lost || end instanceof AttemptEnd.Failed;
                mayHaveRun += ran ? 1 : 0;
                step = account.attemptEnded(end);
                assertEquals(account.stepWithoutRetry() == NextStep.REFUSE, mayHaveRun == 0);
                assertFalse(step == NextStep.REFUSE && mayHaveRun > 0);
            }
            assertTrue(mayHaveRun <= (rule == RetryRule.AT_MOST_ONCE ? 1 : mostBackends));
        }
    }

    private static AttemptEnd anyEnd(Random random) {
        return switch (random.nextInt(5)) {
            case 0 -> new AttemptEnd.NeverSent();
            case 1 -> new AttemptEnd.NotExecuted();
            case 2 -> new AttemptEnd.Lost();
            case 3 -> new AttemptEnd.Misdirected();
            default -> new AttemptEnd.Failed();
        };
    }
}
