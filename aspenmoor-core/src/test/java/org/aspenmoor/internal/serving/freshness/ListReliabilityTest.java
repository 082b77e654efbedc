package org.aspenmoor.internal.serving.freshness;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ListReliabilityTest {
    private static final Duration BOUND = Duration.ofSeconds(3);
    private static final Duration LATE = Duration.ofMillis(700);

    private ListReliability reliability;

    @BeforeMethod
    public void setUp() {
        reliability = new ListReliability(Optional.of(BOUND));
    }

    @Test
    public void should_rely_on_the_list_until_the_rest_of_the_bound_is_needed_for_the_way_to_a_server() {
        assertTrue(reliability.reliable(confirmedAt(0), Duration.ZERO, millis(2400)));
        assertFalse(reliability.reliable(confirmedAt(0), Duration.ZERO, millis(2401)));
    }

    // Guards against a request that is decided within the bound and written after it.
    @Test
    public void should_rely_on_the_list_for_a_shorter_time_when_the_event_loop_is_late() {
        assertTrue(reliability.reliable(confirmedAt(0), LATE, millis(1700)));
        assertFalse(reliability.reliable(confirmedAt(0), LATE, millis(1701)));
    }

    @Test
    public void should_rely_on_any_list_when_the_store_is_unavailable() {
        reliability.interrupted(millis(1000));

        assertTrue(reliability.reliable(confirmedAt(0), Duration.ZERO, millis(60_000)));
    }

    // Guards against an entry without processor time that takes its own lateness for an unavailable store.
    @Test
    public void should_not_rely_on_an_unconfirmed_list_when_the_poll_failed_at_an_entry_that_was_late() {
        reliability.eventLoopRan(LATE, millis(900));
        reliability.interrupted(millis(1000));

        assertFalse(reliability.reliable(confirmedAt(0), Duration.ZERO, millis(1001)));
        assertTrue(reliability.reliable(confirmedAt(0), Duration.ZERO, millis(4000)));
    }

    // Guards against requests that wait after an outage of the store although the list has just been read.
    @Test
    public void should_rely_on_a_list_that_was_read_after_the_last_poll() {
        reliability.interrupted(millis(1000));
        reliability.listed(millis(60_000));

        assertTrue(reliability.reliable(confirmedAt(0), Duration.ZERO, millis(62_400)));
        assertFalse(reliability.reliable(confirmedAt(0), Duration.ZERO, millis(62_401)));
    }

    @Test
    public void should_rely_on_any_list_when_no_bound_is_set() {
        ListReliability unbounded = new ListReliability(Optional.empty());

        assertTrue(unbounded.reliable(confirmedAt(0), LATE, millis(60_000)));
    }

    private static Optional<Long> confirmedAt(long milliseconds) {
        return Optional.of(millis(milliseconds));
    }

    private static long millis(long milliseconds) {
        return Duration.ofMillis(milliseconds).toNanos();
    }
}
