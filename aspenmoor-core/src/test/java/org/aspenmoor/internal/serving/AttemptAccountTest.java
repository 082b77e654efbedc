package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

public class AttemptAccountTest {
    private static final int SCHEDULES = 20_000;
    private static final int STEPS = 6;

    @Test
    public void should_refuse_truthfully_while_no_server_was_reached() {
        AttemptAccount account = new AttemptAccount(RepeatRule.AT_MOST_ONCE, 1);

        assertEquals(account.conclusion(), NextStep.REFUSE);
        account.began();
        assertEquals(account.ended(new AttemptEnd.NeverSent()), NextStep.REPEAT);
        assertEquals(account.conclusion(), NextStep.REFUSE);
    }

    // A booking reaches a server and the connection breaks before the answer. Were the caller told that it has not run,
    // it would book again and the narrator would be paid twice.
    @Test
    public void should_never_call_a_lost_booking_not_run() {
        AttemptAccount account = new AttemptAccount(RepeatRule.AT_MOST_ONCE, 3);
        account.began();

        assertEquals(account.ended(new AttemptEnd.Lost()), NextStep.REPORT_UNKNOWN);
        assertEquals(account.conclusion(), NextStep.REPORT_UNKNOWN);
        assertTrue(account.mayHaveRun());
    }

    // The time of a request runs out while a server has it; the server may still run it.
    @Test
    public void should_count_an_open_attempt_as_possibly_run() {
        AttemptAccount account = new AttemptAccount(RepeatRule.AT_MOST_ONCE, 1);
        account.began();

        assertEquals(account.conclusion(), NextStep.REPORT_UNKNOWN);
    }

    // Engines turn requests away after their prompts were computed, and each prompt is computed again for the next try.
    // Were
    // that free, a fleet in trouble would get a multiple of its load and recover late.
    @Test
    public void should_count_all_but_the_first_computed_prompt_as_repeats() {
        AttemptAccount account = new AttemptAccount(RepeatRule.AT_MOST_ONCE, 1);
        account.promptComputed();
        assertFalse(account.nextIsRepeat());

        account.began();
        account.ended(new AttemptEnd.Misdirected());
        assertTrue(account.nextIsRepeat());
        assertFalse(account.mayHaveRun());
    }

    @Test
    public void should_count_a_prompt_that_an_engine_did_not_compute_as_an_arrival() {
        AttemptAccount neverSent = new AttemptAccount(RepeatRule.AT_MOST_ONCE, 1);
        neverSent.promptFailed(new AttemptEnd.NeverSent());
        AttemptAccount rejected = new AttemptAccount(RepeatRule.AT_MOST_ONCE, 1);
        rejected.promptFailed(new AttemptEnd.NotExecuted());

        assertFalse(neverSent.nextIsRepeat());
        assertTrue(rejected.nextIsRepeat());
        assertFalse(rejected.mayHaveRun());
    }

    @Test
    public void should_repeat_an_idempotent_request_up_to_its_servers() {
        AttemptAccount account = new AttemptAccount(RepeatRule.REPEATABLE, 2);
        account.began();
        assertEquals(account.ended(new AttemptEnd.Lost()), NextStep.REPEAT);
        account.began();
        assertEquals(account.ended(new AttemptEnd.Lost()), NextStep.REPORT_UNKNOWN);
    }

    @Test
    public void should_pass_the_failure_of_a_request_on_that_may_run_once() {
        AttemptAccount account = new AttemptAccount(RepeatRule.AT_MOST_ONCE, 2);
        account.began();

        assertEquals(account.ended(new AttemptEnd.Failed()), NextStep.PASS_FAILURE_ON);
    }

    @Test
    public void should_count_only_arrivals_as_repeats() {
        AttemptAccount account = new AttemptAccount(RepeatRule.AT_MOST_ONCE, 1);
        account.began();
        account.ended(new AttemptEnd.NeverSent());
        assertFalse(account.nextIsRepeat());
        account.began();
        account.ended(new AttemptEnd.NotExecuted());
        assertTrue(account.nextIsRepeat());
    }

    @Test
    public void should_give_up_after_several_servers_that_take_nothing() {
        AttemptAccount account = new AttemptAccount(RepeatRule.REPEATABLE, 9);
        NextStep last = NextStep.REPEAT;
        int attempts = 0;
        while (last == NextStep.REPEAT) {
            account.began();
            last = account.ended(new AttemptEnd.NotExecuted());
            attempts++;
        }
        assertEquals(last, NextStep.REFUSE);
        assertEquals(attempts, 4);
    }

    @Test
    public void should_not_take_two_attempts_at_once() {
        AttemptAccount account = new AttemptAccount(RepeatRule.REPEATABLE, 2);
        account.began();

        assertThrows(IllegalStateException.class, () -> account.began());
    }

    // Servers crash, refuse and lose answers in any order. Whatever comes, a booking reaches at most one server that
    // may
    // run it, and "not run" is only said where none has.
    @Test
    public void should_keep_its_promises_under_any_schedule() {
        Random random = new Random(7);
        for (int schedule = 0; schedule < SCHEDULES; schedule++) {
            RepeatRule rule = RepeatRule.values()[random.nextInt(RepeatRule.values().length)];
            int mostBackends = 1 + random.nextInt(3);
            AttemptAccount account = new AttemptAccount(rule, mostBackends);
            int mayHaveRun = 0;
            NextStep step = NextStep.REPEAT;
            for (int attempt = 0; attempt < STEPS && step == NextStep.REPEAT; attempt++) {
                account.began();
                AttemptEnd end = anyEnd(random);
                boolean ran = end instanceof AttemptEnd.Lost || end instanceof AttemptEnd.Failed;
                mayHaveRun += ran ? 1 : 0;
                step = account.ended(end);
                assertEquals(account.conclusion() == NextStep.REFUSE, mayHaveRun == 0);
                assertFalse(step == NextStep.REFUSE && mayHaveRun > 0);
            }
            assertTrue(mayHaveRun <= (rule == RepeatRule.AT_MOST_ONCE ? 1 : mostBackends));
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
