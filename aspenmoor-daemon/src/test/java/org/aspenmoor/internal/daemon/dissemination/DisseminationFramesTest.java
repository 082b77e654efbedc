package org.aspenmoor.internal.daemon.dissemination;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.dissemination.DisseminationMessage;
import org.aspenmoor.internal.dissemination.DocumentKey;
import org.aspenmoor.internal.dissemination.DocumentRevision;
import org.aspenmoor.internal.dissemination.RevisionSummary;
import org.aspenmoor.internal.wire.v1.Frame;
import org.aspenmoor.internal.wire.v1.Probe;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class DisseminationFramesTest {
    private static final DocumentKey KEY = new DocumentKey("hojas-andinas", "registry");
    private static final RevisionSummary LINE = new RevisionSummary(KEY, 12, -5);

    @DataProvider
    public Object[][] messages() {
        return new Object[][] {
            {new DisseminationMessage.Update(new DocumentRevision(KEY, 12, "{\"team\": \"ñ\"}"))},
            {new DisseminationMessage.Update(new DocumentRevision(KEY, 13, "{\"engines\": [] }".repeat(200)))},
            {new DisseminationMessage.Update(new DocumentRevision(KEY, 14, ""))},
            {new DisseminationMessage.FetchRequest(KEY, 11)},
            {new DisseminationMessage.Compare(-3, 4)},
            {new DisseminationMessage.Equal(-3, Optional.empty())},
            {new DisseminationMessage.Differs(-3, List.of(1L, -2L))},
            {new DisseminationMessage.BucketRevisions(List.of(0, 63), List.of(LINE))},
            {new DisseminationMessage.NewerRevisions(List.of(LINE))},
        };
    }

    @Test(dataProvider = "messages")
    public void should_round_trip_every_message(DisseminationMessage message) throws InvalidProtocolBufferException {
        Frame frame = Frame.parseFrom(DisseminationFrames.toFrame(message).toByteArray());

        assertEquals(DisseminationFrames.fromFrame(frame), Optional.of(message));
    }

    @Test
    public void should_round_the_confirmed_age_up() {
        Duration age = Duration.ofNanos(1_999_999);

        DisseminationMessage read = DisseminationFrames.fromFrame(
                        DisseminationFrames.toFrame(new DisseminationMessage.Equal(1, Optional.of(age))))
                .orElseThrow();

        assertEquals(read, new DisseminationMessage.Equal(1, Optional.of(Duration.ofMillis(2))));
    }

    @Test
    public void should_compress_documents() {
        String content = "{\"name\": \"drafting-1\", \"dataCentre\": \"lima-1\"}".repeat(50);

        Frame frame =
                DisseminationFrames.toFrame(new DisseminationMessage.Update(new DocumentRevision(KEY, 12, content)));

        assertTrue(frame.getSerializedSize() < content.length() / 4);
    }

    // A link delivers an update with a corrupted length. Trusting it could allocate any amount of memory, and accepting
    // the partial output could put an incomplete document in force.
    @Test
    public void should_ignore_an_update_when_its_inflated_length_is_wrong() {
        String content = "{\"engines\": [] }".repeat(200);
        Frame frame =
                DisseminationFrames.toFrame(new DisseminationMessage.Update(new DocumentRevision(KEY, 12, content)));

        for (int length : new int[] {content.length() + 1, Integer.MAX_VALUE, -1}) {
            Frame.Builder corrupted = frame.toBuilder();
            corrupted.getDocumentUpdateBuilder().setInflatedLength(length);
            assertTrue(DisseminationFrames.fromFrame(corrupted.build()).isEmpty());
        }
    }

    @Test
    public void should_return_nothing_when_a_frame_carries_no_dissemination_message() {
        Frame probe = Frame.newBuilder().setProbe(Probe.getDefaultInstance()).build();

        assertTrue(DisseminationFrames.fromFrame(probe).isEmpty());
    }
}
