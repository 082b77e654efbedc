package org.aspenmoor.internal.gateway.peers;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.serving.LastingSlowdown;
import org.aspenmoor.internal.serving.LearnedSlowdown;
import org.aspenmoor.internal.serving.LoadChange;
import org.aspenmoor.internal.serving.LoadChanges;
import org.aspenmoor.internal.serving.ObservedStartDelays;
import org.aspenmoor.internal.serving.PeerMeasurements;
import org.aspenmoor.internal.serving.ServerSpeed;
import org.aspenmoor.internal.serving.StatedSlowdown;
import org.aspenmoor.internal.serving.freshness.CollectionObservation;
import org.aspenmoor.internal.serving.freshness.ObservedCollection;
import org.aspenmoor.internal.serving.share.OrganisationDemand;
import org.aspenmoor.internal.serving.share.ServiceDemand;
import org.aspenmoor.internal.wire.v1.PeerLoad;
import org.testng.annotations.Test;

public class MeasurementCodecTest {
    private static final PeerMeasurements MEASUREMENTS = new PeerMeasurements(
            List.of(
                    new ServerSpeed(
                            "both",
                            1_786_504_654_297L,
                            Optional.of(new StatedSlowdown(1.75, Duration.ofMillis(300))),
                            Optional.of(new LastingSlowdown(0.75, 40)),
                            Optional.of(new LearnedSlowdown(0.5, 12))),
                    new ServerSpeed("neither", 1, Optional.empty(), Optional.empty(), Optional.empty())),
            List.of(new ServiceDemand("drafting", List.of(new OrganisationDemand(-5, 2, 8.5)), 16.25, 0.75)),
            List.of(new ObservedStartDelays("drafting", EngineRole.PREFILL, 3, 2.5, 1.5, 0.5, 0.125)),
            List.of(new CollectionObservation(ObservedCollection.SERVERS, 2, -77, Duration.ofMillis(650))));

    @Test
    public void should_restore_measurements_when_parsing_their_serialised_form() {
        PeerLoad.Builder report = PeerLoad.newBuilder();

        MeasurementCodec.serialise(MEASUREMENTS, report);

        assertEquals(MeasurementCodec.parse(report.build()), MEASUREMENTS);
    }

    /** An entry of the previous release sends none of the measurements. Its reports must still count. */
    @Test
    public void should_find_no_measurements_in_a_report_without_them() {
        assertEquals(MeasurementCodec.parse(PeerLoad.getDefaultInstance()), PeerMeasurements.NONE);
    }

    /** A figure that is not a number would spread to all entries and stay in their averages for good. */
    @Test
    public void should_leave_out_what_has_figures_that_nobody_measures() {
        PeerLoad.Builder report = PeerLoad.newBuilder();
        MeasurementCodec.serialise(MEASUREMENTS, report);
        report.addServerSpeeds(PeerLoad.ServerSpeed.newBuilder()
                .setServer("neither")
                .setStartedAt(1)
                .setStatedFactor(Float.NaN)
                .setLearnedFactor(-1));
        report.addServiceDemands(PeerLoad.ServiceDemand.newBuilder().setCompletedPerSecond(Float.POSITIVE_INFINITY));
        report.addStartDelays(PeerLoad.StartDelays.newBuilder()
                .setRole(1)
                .setAnswers(1)
                .setWorkFactor(Float.NaN)
                .setFixedSeconds(1));
        report.addStartDelays(PeerLoad.StartDelays.newBuilder()
                .setRole(99)
                .setAnswers(1)
                .setWorkFactor(1)
                .setFixedSeconds(1));
        report.addObservations(PeerLoad.Observation.newBuilder().setCollection(99));

        PeerMeasurements parsed = MeasurementCodec.parse(report.build());

        assertEquals(
                parsed.serverSpeeds().getLast(), MEASUREMENTS.serverSpeeds().getLast());
        assertEquals(parsed.serviceDemands(), MEASUREMENTS.serviceDemands());
        assertEquals(parsed.startDelays(), MEASUREMENTS.startDelays());
        assertEquals(parsed.observations(), MEASUREMENTS.observations());
    }

    @Test
    public void should_restore_changes_of_the_load_when_parsing_their_serialised_form() throws Exception {
        LoadChanges changes = new LoadChanges(
                "entry-1", 7, 9, List.of(new LoadChange("engine", 0.25, 1), new LoadChange("other", -0.5, -1)));

        PeerLoad message = PeerLoad.parseFrom(LoadChangesCodec.serialise(changes));

        assertEquals(LoadChangesCodec.parse(message), Optional.of(changes));
        assertEquals(PeerReportCodec.parse(message), Optional.empty());
    }
}
