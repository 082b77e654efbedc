package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

public class AttemptTrackerTest {
    private static final int SEQUENCES = 20_000;
    private static final int MAX_ATTEMPTS = 6;

    @Test
    public void should_refuse_when_no_server_was_reached() {
        AttemptTracker tracker = new AttemptTracker(RetryRule.AT_MOST_ONCE, 1);

        assertEquals(tracker.stepWithoutRetry(), NextStep.REFUSE);
        tracker.attemptStarted();
        assertEquals(tracker.attemptEnded(new AttemptEnd.NeverSent()), NextStep.REPEAT);
        assertEquals(tracker.stepWithoutRetry(), NextStep.REFUSE);
    }

    // A non-idempotent request reaches a server and the connection breaks before the answer. If the caller were
    // informed that the request has not run, it would send it again and the request could run twice.
    @Test
    public void should_report_unknown_when_a_non_idempotent_request_was_lost() {
        AttemptTracker tracker = new AttemptTracker(RetryRule.AT_MOST_ONCE, 3);
        tracker.attemptStarted();

        assertEquals(tracker.attemptEnded(new AttemptEnd.Lost()), NextStep.REPORT_UNKNOWN);
        assertEquals(tracker.stepWithoutRetry(), NextStep.REPORT_UNKNOWN);
        assertTrue(tracker.mayHaveRun());
    }

    // The deadline of a request expires while a server has it; the server may still run it.
    @Test
    public void should_report_unknown_while_an_attempt_is_open() {
        AttemptTracker tracker = new AttemptTracker(RetryRule.AT_MOST_ONCE, 1);
        tracker.attemptStarted();

        assertEquals(tracker.stepWithoutRetry(), NextStep.REPORT_UNKNOWN);
    }

    // Engines reject requests after their prompts were computed, and each prompt is computed again for the next
    // attempt. If that did not count as a retry, overloaded engines would receive a multiple of their load and recover
    // late.
    @Test
    public void should_count_all_but_the_first_computed_prompt_as_retries() {
        AttemptTracker tracker = new AttemptTracker(RetryRule.AT_MOST_ONCE, 1);
        tracker.promptComputed();
        assertEquals(tracker.requiredRetries(), 0);

        tracker.attemptStarted();
        tracker.attemptEnded(new AttemptEnd.Misdirected());
        assertEquals(tracker.requiredRetries(), 1);
        assertFalse(tracker.mayHaveRun());
    }

    @Test
    public void should_count_a_rejected_prompt_as_an_arrival() {
        AttemptTracker neverSent = new AttemptTracker(RetryRule.AT_MOST_ONCE, 1);
        neverSent.promptFailed(new AttemptEnd.NeverSent());
        AttemptTracker rejected = new AttemptTracker(RetryRule.AT_MOST_ONCE, 1);
        rejected.promptFailed(new AttemptEnd.NotExecuted());

        assertEquals(neverSent.requiredRetries(), 0);
        assertEquals(rejected.requiredRetries(), 1);
        assertFalse(rejected.mayHaveRun());
    }

    @Test
    public void should_retry_an_idempotent_request_up_to_the_maximum_number_of_servers() {
        AttemptTracker tracker = new AttemptTracker(RetryRule.REPEATABLE, 2);
        tracker.attemptStarted();
        assertEquals(tracker.attemptEnded(new AttemptEnd.Lost()), NextStep.REPEAT);
        tracker.attemptStarted();
        assertEquals(tracker.attemptEnded(new AttemptEnd.Lost()), NextStep.REPORT_UNKNOWN);
    }

    @Test
    public void should_pass_the_failure_on_when_the_request_may_run_only_once() {
        AttemptTracker tracker = new AttemptTracker(RetryRule.AT_MOST_ONCE, 2);
        tracker.attemptStarted();

        assertEquals(tracker.attemptEnded(new AttemptEnd.Failed()), NextStep.PASS_FAILURE_ON);
    }

    @Test
    public void should_count_only_attempts_that_arrived_as_retries() {
        AttemptTracker tracker = new AttemptTracker(RetryRule.AT_MOST_ONCE, 1);
        tracker.attemptStarted();
        tracker.attemptEnded(new AttemptEnd.NeverSent());
        assertEquals(tracker.requiredRetries(), 0);
        tracker.attemptStarted();
        tracker.attemptEnded(new AttemptEnd.NotExecuted());
        assertEquals(tracker.requiredRetries(), 1);
    }

    @Test
    public void should_refuse_after_several_servers_have_rejected_the_request() {
        AttemptTracker tracker = new AttemptTracker(RetryRule.REPEATABLE, 9);
        NextStep last = NextStep.REPEAT;
        int attempts = 0;
        while (last == NextStep.REPEAT) {
            tracker.attemptStarted();
            last = tracker.attemptEnded(new AttemptEnd.NotExecuted());
            attempts++;
        }
        assertEquals(last, NextStep.REFUSE);
        assertEquals(attempts, 4);
    }

    @Test
    public void should_reject_a_second_attempt_while_one_is_open() {
        AttemptTracker tracker = new AttemptTracker(RetryRule.REPEATABLE, 2);
        tracker.attemptStarted();

        assertThrows(IllegalStateException.class, () -> tracker.attemptStarted());
    }

    // Servers crash, reject requests and lose answers in any order. A request that may run only once must reach at most
    // one server that may run it, and "not run" must only be reported if no server has run it.
    @Test
    public void should_limit_runs_and_refuse_only_what_has_not_run_for_any_sequence_of_ends() {
        Random random = new Random(7);
        for (int sequence = 0; sequence < SEQUENCES; sequence++) {
            RetryRule rule = RetryRule.values()[random.nextInt(RetryRule.values().length)];
            int maxBackends = 1 + random.nextInt(3);
            AttemptTracker tracker = new AttemptTracker(rule, maxBackends);
            int possibleRuns = 0;
            NextStep step = NextStep.REPEAT;
            for (int attempt = 0; attempt < MAX_ATTEMPTS && step == NextStep.REPEAT; attempt++) {
                tracker.attemptStarted();
                AttemptEnd end = randomEnd(random);
                boolean mayHaveRun = end instanceof AttemptEnd.Lost || end instanceof AttemptEnd.Failed;
                possibleRuns += mayHaveRun ? 1 : 0;
                step = tracker.attemptEnded(end);
                assertEquals(tracker.stepWithoutRetry() == NextStep.REFUSE, possibleRuns == 0);
                assertFalse(step == NextStep.REFUSE && possibleRuns > 0);
            }
            assertTrue(possibleRuns <= (rule == RetryRule.AT_MOST_ONCE ? 1 : maxBackends));
        }
    }

    private static AttemptEnd randomEnd(Random random) {
        return switch (random.nextInt(5)) {
            case 0 -> new AttemptEnd.NeverSent();
            case 1 -> new AttemptEnd.NotExecuted();
            case 2 -> new AttemptEnd.Lost();
            case 3 -> new AttemptEnd.Misdirected();
            default -> new AttemptEnd.Failed();
        };
    }
}
