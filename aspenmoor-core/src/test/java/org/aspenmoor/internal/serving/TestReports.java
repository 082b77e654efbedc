package org.aspenmoor.internal.serving;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.internal.duty.OrderStanding;

/** Creates reports that contain only loads and measurements. */
public final class TestReports {
    private TestReports() {}

    public static PeerReport of(
            String sender,
            long incarnation,
            long sequence,
            Map<String, EntryLoad> loads,
            PeerMeasurements measurements) {
        return report(sender, incarnation, sequence, loads, measurements, false);
    }

    /** Returns the last report of an entry that is stopping. */
    static PeerReport last(String sender, long incarnation, long sequence) {
        return report(sender, incarnation, sequence, Map.of(), PeerMeasurements.NONE, true);
    }

    private static PeerReport report(
            String sender,
            long incarnation,
            long sequence,
            Map<String, EntryLoad> loads,
            PeerMeasurements measurements,
            boolean stopping) {
        return new PeerReport(
                sender,
                incarnation,
                sequence,
                loads,
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                Optional.empty(),
                new OrderStanding(sender, true, 0),
                measurements,
                stopping);
    }
}
