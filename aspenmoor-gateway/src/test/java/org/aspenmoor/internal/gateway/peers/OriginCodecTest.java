package org.aspenmoor.internal.gateway.peers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.serving.SoftwareVersion;
import org.aspenmoor.internal.serving.origin.KnownStream;
import org.aspenmoor.internal.serving.origin.OriginKnowledge;
import org.aspenmoor.internal.serving.origin.OriginQuestion;
import org.aspenmoor.internal.serving.origin.OriginReply;
import org.aspenmoor.internal.serving.origin.StreamKey;
import org.aspenmoor.internal.serving.origin.StreamOrigin;
import org.aspenmoor.internal.serving.origin.VersionSighting;
import org.aspenmoor.internal.wire.v1.PeerLoad;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class OriginCodecTest {
    private static final StreamKey STREAM = StreamKey.of("hule930", "17bd2c194294a4e4");
    private static final StreamOrigin ORIGIN = new StreamOrigin("huvo11a", new SoftwareVersion("v1.2"));
    private static final OriginQuestion QUESTION = new OriginQuestion(70_000, STREAM, "huvo11a");

    /** A datagram of this size is sent in one packet on every usual network. */
    private static final int MAX_DATAGRAM_BYTES = 1_400;

    @Test
    public void should_restore_streams_when_parsing_their_serialised_form() throws Exception {
        List<KnownStream> streams = List.of(new KnownStream(STREAM, ORIGIN));

        PeerLoad message = PeerLoad.parseFrom(OriginCodec.serialiseStreams(streams, true));

        assertEquals(OriginCodec.parseStreams(message), streams);
        assertEquals(PeerReportCodec.parse(message), Optional.empty(), "it must not be taken for a report");
    }

    @Test
    public void should_restore_a_question_when_parsing_its_serialised_form() throws Exception {
        PeerLoad message = PeerLoad.parseFrom(OriginCodec.serialiseQuestion("front-lima-a-1", QUESTION));

        assertEquals(OriginCodec.parseQuestion(message), Optional.of(QUESTION));
    }

    @DataProvider
    public Object[][] knowledge() {
        return new Object[][] {
            {new OriginKnowledge.Unknown()}, {new OriginKnowledge.Known(ORIGIN)}, {new OriginKnowledge.Contradictory()},
        };
    }

    @Test(dataProvider = "knowledge")
    public void should_restore_a_reply_when_parsing_its_serialised_form(OriginKnowledge knowledge) throws Exception {
        OriginReply reply = new OriginReply(
                "front-lima-a-1",
                QUESTION.number(),
                knowledge,
                List.of(new VersionSighting("huvo11a", new SoftwareVersion("v1"), Duration.ofMillis(300))),
                true);

        PeerLoad message = PeerLoad.parseFrom(OriginCodec.serialiseReply(reply, STREAM));

        assertEquals(OriginCodec.parseReply(message), Optional.of(reply));
    }

    // Guards against messages that are split into several packets, each of which may get lost.
    @Test
    public void should_fit_into_one_packet_when_as_many_streams_are_told_as_possible() {
        List<KnownStream> streams = Collections.nCopies(24, new KnownStream(STREAM, ORIGIN));

        assertTrue(OriginCodec.serialiseStreams(streams, true).length < MAX_DATAGRAM_BYTES);
    }

    // Guards against a damaged datagram that names a stream by something that is no key.
    @Test
    public void should_ignore_streams_and_questions_when_their_keys_are_damaged()
            throws InvalidProtocolBufferException {
        ByteString damaged = ByteString.copyFrom(new byte[] {1, 2, 3});
        PeerLoad message = PeerLoad.newBuilder()
                .addStreams(PeerLoad.Stream.newBuilder().setKey(damaged).setService("s"))
                .setQuestion(PeerLoad.Question.newBuilder().setKey(damaged).setService("s"))
                .build();

        assertEquals(OriginCodec.parseStreams(message), List.of());
        assertEquals(OriginCodec.parseQuestion(message), Optional.empty());
    }
}
