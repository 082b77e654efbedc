package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ServerBackoffTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final Duration PAUSE = Duration.ofSeconds(3);
    private static final long RETURN = 3 * SECOND;

    private ServerBackoff backoff;

    @BeforeMethod
    public void createBackoff() {
        backoff = new ServerBackoff();
    }

    @Test
    public void should_not_limit_requests_to_a_server_that_has_asked_for_no_pause() {
        assertTrue(backoff.hasRoom(1_000, 0));
        assertEquals(backoff.remaining(0), Duration.ZERO);
    }

    // Guards against a later, shorter pause that ends an earlier, longer one.
    @Test
    public void should_keep_the_longest_of_several_pauses() {
        assertTrue(backoff.requested(PAUSE, 0, 0, 0));
        assertFalse(backoff.requested(Duration.ofSeconds(1), 0, 0, SECOND));

        assertFalse(backoff.hasRoom(0, RETURN - 1));
        assertEquals(backoff.remaining(SECOND), Duration.ofSeconds(2));
        assertTrue(backoff.hasRoom(0, RETURN));
    }

    // Guards against a return before the end of the pause because of its random part.
    @Test
    public void should_return_later_at_random_and_never_sooner() {
        backoff.requested(PAUSE, 0, 1, 0);

        assertFalse(backoff.hasRoom(0, RETURN));
        assertTrue(backoff.hasRoom(0, RETURN + SECOND));
    }

    // Guards against all requests of an entry that return to a server at once.
    @Test
    public void should_return_with_one_request_and_one_more_for_each_answer() {
        backoff.requested(PAUSE, 8, 0, 0);

        assertTrue(backoff.hasRoom(0, RETURN));
        assertFalse(backoff.hasRoom(1, RETURN));
        backoff.answered(RETURN);
        assertTrue(backoff.hasRoom(1, RETURN));
        assertFalse(backoff.hasRoom(2, RETURN));
    }

    // Guards against a server that is filled again as soon as half of what filled it before is back.
    @Test
    public void should_return_more_slowly_from_half_of_the_former_requests_on() {
        backoff.requested(PAUSE, 4, 0, 0);
        backoff.answered(RETURN);
        assertTrue(backoff.hasRoom(1, RETURN));

        backoff.answered(RETURN);
        assertTrue(backoff.hasRoom(2, RETURN));
        backoff.answered(RETURN);
        assertFalse(backoff.hasRoom(3, RETURN));
    }

    // Guards against answers to requests sent before the pause that end the step-by-step return.
    @Test
    public void should_not_count_answers_that_begin_during_the_pause() {
        backoff.requested(PAUSE, 8, 0, 0);
        backoff.answered(SECOND);

        assertFalse(backoff.hasRoom(1, RETURN));
    }

    @Test
    public void should_limit_nothing_any_more_after_some_time_without_a_pause() {
        backoff.requested(PAUSE, 8, 0, 0);

        assertTrue(backoff.hasRoom(100, RETURN + 10 * SECOND));
    }
}
