package org.aspenmoor.internal.gateway.peers;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.serving.LastingSlowdown;
import org.aspenmoor.internal.serving.PeerMeasurements;
import org.aspenmoor.internal.serving.ServerSpeed;
import org.aspenmoor.internal.serving.StatedSlowdown;
import org.aspenmoor.internal.wire.v1.PeerLoad;
import org.testng.annotations.Test;

public class LastingSlowdownCodecTest {
    private static final StatedSlowdown STATED = new StatedSlowdown(4.25, Duration.ofMillis(120));

    @Test
    public void should_read_the_lasting_speed_that_another_entry_reports() {
        assertEquals(sent(1.75, 12).lasting(), Optional.of(new LastingSlowdown(1.75, 12)));
    }

    // Guards against a faulty figure of a peer that makes a server look infinitely fast, or discards its statement.
    @Test
    public void should_ignore_a_lasting_speed_that_is_none_and_keep_the_rest() {
        assertEquals(sent(0, 12).lasting(), Optional.empty());
        assertEquals(sent(Double.NaN, 12).lasting(), Optional.empty());
        assertEquals(sent(1.75, -1).lasting(), Optional.empty());
        assertEquals(sent(0, 12).stated(), Optional.of(STATED));
    }

    private static ServerSpeed sent(double lastingFactor, int statements) {
        ServerSpeed speed = new ServerSpeed(
                "s",
                1,
                Optional.of(STATED),
                Optional.of(new LastingSlowdown(lastingFactor, statements)),
                Optional.empty());
        PeerLoad.Builder report = PeerLoad.newBuilder();
        MeasurementCodec.serialise(new PeerMeasurements(List.of(speed), List.of(), List.of(), List.of()), report);
        return MeasurementCodec.parse(report.build()).serverSpeeds().getFirst();
    }
}
