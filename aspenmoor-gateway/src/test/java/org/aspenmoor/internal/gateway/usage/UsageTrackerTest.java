package org.aspenmoor.internal.gateway.usage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.aspenmoor.internal.duty.DutyStatus;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.aspenmoor.internal.usage.EntryUsage;
import org.aspenmoor.internal.usage.UsageSnapshot;
import org.aspenmoor.internal.usage.UsageWindows;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class UsageTrackerTest {
    private static final UsageWindows WINDOWS = new UsageWindows(Duration.ofSeconds(5));

    private ManualTimeSource time;
    private SortedMap<String, DutyStatus> peers;
    private UsageTracker tracker;
    private long first;

    @BeforeMethod
    public void start() {
        time = new ManualTimeSource();
        peers = new TreeMap<>();
        tracker = new UsageTracker("entry-2", WINDOWS, () -> true, () -> peers, time);
        first = tracker.firstWindow();
    }

    @Test
    public void should_have_a_window_decided_when_all_entries_have_counted_it_completely() {
        peers.put("entry-1", status(false));
        tracker.requestBegan("house", time.monotonicNanos());
        time.advance(Duration.ofMillis(5400));
        assertEquals(tracker.snapshot().lastDue(), first - 1);

        tracker.usageReceived(new EntryUsage("entry-1", 1, first, true, Map.of("house", 2L)));
        UsageSnapshot snapshot = tracker.snapshot();

        assertEquals(snapshot.lastDue(), first);
        assertEquals(snapshot.totals().get(first).counts(), Map.of("house", 3L));
        assertEquals(snapshot.rank(), 1);
    }

    @Test
    public void should_not_wait_for_ever_when_an_entry_sends_no_counts() {
        peers.put("entry-1", status(false));
        time.advance(Duration.ofMillis(7999));
        assertEquals(tracker.snapshot().lastDue(), first - 1);
        time.advance(Duration.ofMillis(1));

        assertEquals(tracker.snapshot().lastDue(), first);
    }

    // This entry is cut off from all others, which go on counting. If it decided at once, their requests would be
    // missing from the report.
    @Test
    public void should_wait_longer_when_an_entry_that_counted_the_window_before_is_not_heard() {
        tracker.usageReceived(new EntryUsage("entry-1", 1, first, true, Map.of()));
        time.advance(Duration.ofMillis(10_500));

        assertEquals(tracker.snapshot().lastDue(), first);
        time.advance(Duration.ofMillis(5499));
        assertEquals(tracker.snapshot().lastDue(), first);
        time.advance(Duration.ofMillis(1));
        assertEquals(tracker.snapshot().lastDue(), first + 2, "the next window, too, which only this entry counted");
    }

    @Test
    public void should_send_counts_to_the_first_eligible_entries_and_to_the_one_that_collects() {
        for (int number = 3; number < 9; number++) {
            peers.put("entry-" + number, status(number == 7));
        }
        peers.put("entry-1", new DutyStatus(false, false, -1, 0));

        assertEquals(tracker.collectors(), Set.of("entry-3", "entry-4", "entry-7"));
    }

    @Test
    public void should_stop_sending_counts_when_their_window_is_settled() {
        time.advance(Duration.ofSeconds(12));
        tracker.peerReported(
                "entry-1",
                new DutyStatus(true, true, first, time.wallClockTime().toEpochMilli()));

        assertEquals(tracker.unsettledUsage().getFirst().window(), first + 1);
        assertFalse(tracker.unsettledUsage().getLast().complete());
    }

    private static DutyStatus status(boolean collects) {
        return new DutyStatus(true, collects, -1, 0);
    }
}
