package org.aspenmoor.internal.gateway.standin;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.internal.duty.OrderStanding;
import org.aspenmoor.internal.serving.EntryLoad;
import org.aspenmoor.internal.serving.PeerMeasurements;
import org.aspenmoor.internal.serving.PeerReport;
import org.aspenmoor.internal.serving.RoleChange;

/** Creates reports of other entries that contain little. */
public final class TestReports {
    private TestReports() {}

    /** Returns a report that contains nothing but the sender's standing. */
    public static PeerReport of(OrderStanding standing, long sequence) {
        return report(standing, 1, sequence, Map.of(), List.of(), false);
    }

    /** Returns a report of an entry that reaches the store and has these loads. */
    public static PeerReport of(String entry, Map<String, EntryLoad> loads) {
        return report(reachesStore(entry), 1, 1, loads, List.of(), false);
    }

    /** Returns a report of an entry that reaches the store and has ordered a change of a role. */
    public static PeerReport of(String entry, RoleChange change) {
        return report(reachesStore(entry), 1, 1, Map.of(), List.of(change), false);
    }

    /** Returns the last report of an entry that is stopping. */
    public static PeerReport last(String entry, long incarnation, long sequence) {
        return report(reachesStore(entry), incarnation, sequence, Map.of(), List.of(), true);
    }

    private static OrderStanding reachesStore(String entry) {
        return new OrderStanding(entry, true, 0);
    }

    private static PeerReport report(
            OrderStanding standing,
            long incarnation,
            long sequence,
            Map<String, EntryLoad> loads,
            List<RoleChange> changes,
            boolean stopping) {
        return new PeerReport(
                standing.entry(),
                incarnation,
                sequence,
                loads,
                List.of(),
                List.of(),
                List.of(),
                changes,
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                Optional.empty(),
                standing,
                PeerMeasurements.NONE,
                stopping);
    }
}
