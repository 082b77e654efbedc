package org.aspenmoor.internal.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.aspenmoor.internal.gateway.caller.ActiveRequest;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class StartingRequestTest {
    private static final long WAITS_UNTIL = 1000;

    private List<String> happened;
    private StartingRequest request;

    @BeforeMethod
    public void start() {
        happened = new ArrayList<>();
        request = new StartingRequest(
                WAITS_UNTIL, () -> begun("served"), () -> begun("refused"), () -> happened.add("released"));
    }

    // After a power failure of all entries, callers connect before the entry has read its configuration. Most
    // callers that are refused then have no further attempt and get no answer, although the entry is ready half a
    // second later.
    @Test
    public void should_serve_a_request_that_came_before_the_process_was_ready() {
        assertFalse(request.settled(false, 500));
        assertTrue(request.settled(true, 600));

        assertEquals(happened, List.of("served"));
    }

    // The store is unavailable while the process starts. Callers are refused while they still have time to try
    // another entry.
    @Test
    public void should_refuse_it_where_the_start_takes_too_long() {
        assertFalse(request.settled(false, WAITS_UNTIL - 1));
        assertTrue(request.settled(false, WAITS_UNTIL));

        assertEquals(happened, List.of("refused"));
    }

    // A caller leaves while the entry starts. Its request must not be run, because nobody would receive the answer.
    @Test
    public void should_do_nothing_for_a_caller_that_has_left() {
        request.callerLeft();

        assertTrue(request.settled(true, 100));
        assertEquals(happened, List.of("released"));
    }

    @Test
    public void should_tell_what_was_begun_that_its_caller_left() {
        request.settled(true, 100);
        request.callerLeft();
        request.writabilityChanged();

        assertEquals(happened, List.of("served", "left", "writable"));
    }

    private ActiveRequest begun(String how) {
        happened.add(how);
        return new ActiveRequest() {
            @Override
            public void callerLeft() {
                happened.add("left");
            }

            @Override
            public void writabilityChanged() {
                happened.add("writable");
            }
        };
    }
}
