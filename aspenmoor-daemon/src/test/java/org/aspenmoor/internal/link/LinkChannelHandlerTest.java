package org.aspenmoor.internal.link;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import org.aspenmoor.internal.wire.FramePipeline;
import org.aspenmoor.internal.wire.v1.Frame;
import org.aspenmoor.internal.wire.v1.Hello;
import org.aspenmoor.internal.wire.v1.Probe;
import org.testng.annotations.Test;

public class LinkChannelHandlerTest {
    private static final Frame PROBE =
            Frame.newBuilder().setProbe(Probe.newBuilder().setNumber(7)).build();

    @Test
    public void should_deliver_frames_when_both_sides_have_sent_hello() {
        EmbeddedLink link = EmbeddedLink.unopened();

        link.channel().writeInbound(encode(hello(FramePipeline.PROTOCOL_VERSION)));
        link.channel().writeInbound(encode(PROBE));

        assertTrue(link.wasOpened());
        assertEquals(link.received().getFirst(), PROBE);
    }

    // During an upgrade an entry with a newer protocol connects to an older agent. Without the check both would read
    // fields differently, and callers would receive corrupted answers.
    @Test
    public void should_close_when_the_protocol_versions_differ() {
        EmbeddedLink link = EmbeddedLink.unopened();

        link.channel().writeInbound(encode(hello(FramePipeline.PROTOCOL_VERSION + 1)));

        assertFalse(link.wasOpened());
        assertFalse(link.channel().isOpen());
    }

    // A client that is not a process of the system, such as a port scanner, connects to the port.
    @Test
    public void should_close_when_the_first_frame_is_not_a_hello() {
        EmbeddedLink link = EmbeddedLink.unopened();

        link.channel().writeInbound(encode(PROBE));

        assertFalse(link.wasOpened());
        assertFalse(link.channel().isOpen());
    }

    // A faulty peer announces a frame of two gigabytes. Without the limit the process would allocate memory until it is
    // killed, and all its requests would be lost.
    @Test
    public void should_close_and_notify_the_listener_when_a_frame_exceeds_the_size_limit() {
        EmbeddedLink link = EmbeddedLink.unopened();
        link.channel().writeInbound(encode(hello(FramePipeline.PROTOCOL_VERSION)));

        link.channel().writeInbound(Unpooled.buffer().writeInt(FramePipeline.MAX_FRAME_BYTES + 1));

        assertFalse(link.channel().isOpen());
        assertTrue(link.closeCauses().getFirst().startsWith("TooLongFrameException"));
    }

    // Bytes are corrupted in transit. An undecodable frame may have been the end of an answer. The link is closed and
    // the listener abandons every attempt on it; otherwise that answer would be lost without notice.
    @Test
    public void should_close_and_notify_the_listener_when_a_frame_cannot_be_decoded() {
        EmbeddedLink link = EmbeddedLink.unopened();
        link.channel().writeInbound(encode(hello(FramePipeline.PROTOCOL_VERSION)));

        link.channel()
                .writeInbound(Unpooled.buffer()
                        .writeInt(3)
                        .writeByte(0xff)
                        .writeByte(0xff)
                        .writeByte(0xff));

        assertFalse(link.channel().isOpen());
        assertEquals(link.closeCauses().size(), 1);
    }

    private static Frame hello(int version) {
        return Frame.newBuilder()
                .setHello(Hello.newBuilder().setProtocolVersion(version).setProcess("peer"))
                .build();
    }

    private static Object encode(Frame frame) {
        byte[] bytes = frame.toByteArray();
        return Unpooled.buffer().writeInt(bytes.length).writeBytes(bytes);
    }
}
