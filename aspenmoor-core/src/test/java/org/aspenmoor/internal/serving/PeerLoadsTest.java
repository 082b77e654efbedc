package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PeerLoadsTest {
    private PeerLoads peers;

    @BeforeMethod
    public void createPeerLoads() {
        peers = new PeerLoads();
    }

    @Test
    public void should_sum_the_loads_of_all_entries_on_a_server() {
        peers.receive(report("one", 1, 1, 0.5), 0);
        peers.receive(report("two", 1, 1, 0.25), 0);

        assertEquals(peers.onServer("server"), new EntryLoad(0.75, 2, EventIntervals.NONE, 0));
        assertEquals(peers.onServer("another"), EntryLoad.NONE);
    }

    // Datagrams may arrive out of order. If an older report were treated as the latest, work that has long been
    // completed would be counted again.
    @Test
    public void should_ignore_a_report_when_a_newer_one_was_received() {
        peers.receive(report("one", 1, 2, 0.5), 0);
        peers.receive(report("one", 1, 1, 9), 0);

        assertEquals(peers.onServer("server"), new EntryLoad(0.5, 1, EventIntervals.NONE, 0));
    }

    // An entry is killed and restarted: its sequence numbers start again, and the work of its earlier incarnation no
    // longer exists.
    @Test
    public void should_apply_the_first_report_of_a_new_incarnation() {
        peers.receive(report("one", 1, 700, 5), 0);
        peers.receive(report("one", 2, 1, 0.5), 0);

        assertEquals(peers.onServer("server"), new EntryLoad(0.5, 1, EventIntervals.NONE, 0));
    }

    @Test
    public void should_add_announced_changes_to_the_reported_load_until_the_next_report() {
        peers.receive(report("one", 1, 4, 0.5), 0);

        peers.receive(new LoadChanges("one", 1, 4, List.of(new LoadChange("server", 0.25, 1))));
        peers.receive(new LoadChanges("one", 1, 4, List.of(new LoadChange("server", 0.125, 1))));
        assertEquals(peers.onServer("server"), new EntryLoad(0.875, 3, EventIntervals.NONE, 0));

        peers.receive(report("one", 1, 5, 0.75), 0);
        assertEquals(peers.onServer("server"), new EntryLoad(0.75, 1, EventIntervals.NONE, 0));
    }

    // Datagrams may arrive out of order or after a restart of their sender. Their changes would be counted twice, or
    // for work that no longer exists.
    @Test
    public void should_ignore_announced_changes_that_a_report_contains_or_that_are_of_another_incarnation() {
        peers.receive(report("one", 2, 5, 0.5), 0);

        peers.receive(new LoadChanges("one", 2, 4, List.of(new LoadChange("server", 9, 1))));
        peers.receive(new LoadChanges("one", 1, 700, List.of(new LoadChange("server", 9, 1))));
        peers.receive(new LoadChanges("unknown", 1, 1, List.of(new LoadChange("server", 9, 1))));

        assertEquals(peers.onServer("server"), new EntryLoad(0.5, 1, EventIntervals.NONE, 0));
    }

    // The announcement of an assignment is lost and that of its end arrives. The load must not become negative, or
    // the server would look idle while others have requests there.
    @Test
    public void should_not_let_announced_changes_make_a_load_negative() {
        peers.receive(report("one", 1, 1, 0.5), 0);

        peers.receive(new LoadChanges("one", 1, 1, List.of(new LoadChange("server", -2, -3))));

        assertEquals(peers.onServer("server"), new EntryLoad(0, 0, EventIntervals.NONE, 0));
    }

    @Test
    public void should_remove_an_entry_when_its_report_times_out_or_it_is_stopping() {
        peers.receive(report("one", 1, 1, 0.5), 0);
        peers.receive(report("two", 1, 1, 0.5), PeerLoads.REPORT_TIMEOUT.toNanos());
        assertEquals(peers.onServer("server"), new EntryLoad(1, 2, EventIntervals.NONE, 0));
        peers.expire(PeerLoads.REPORT_TIMEOUT.toNanos() + 1);
        assertEquals(peers.activePeers(), 1);
        assertEquals(peers.onServer("server"), new EntryLoad(0.5, 1, EventIntervals.NONE, 0));

        peers.receive(TestReports.last("two", 1, 2), PeerLoads.REPORT_TIMEOUT.toNanos());
        assertEquals(peers.activePeers(), 0);
    }

    private static PeerReport report(String entry, long incarnation, long sequence, double seconds) {
        return TestReports.of(
                entry,
                incarnation,
                sequence,
                Map.of("server", new EntryLoad(seconds, 1, EventIntervals.NONE, 0)),
                PeerMeasurements.NONE);
    }
}
