package org.aspenmoor.internal.serving.freshness;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.internal.duty.OrderStanding;
import org.aspenmoor.internal.serving.PeerMeasurements;
import org.aspenmoor.internal.serving.PeerReport;

/** Creates reports that contain only observations. */
final class TestReports {
    private TestReports() {}

    static PeerReport of(String sender, long incarnation, long sequence, List<CollectionObservation> observations) {
        return new PeerReport(
                sender,
                incarnation,
                sequence,
                Map.of(),
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
                new PeerMeasurements(List.of(), List.of(), List.of(), observations),
                false);
    }
}
