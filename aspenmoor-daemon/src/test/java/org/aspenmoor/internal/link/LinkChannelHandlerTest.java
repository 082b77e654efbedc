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

    // During an upgrade an entry of a later build connects to an older agent. If both went on, fields would be read
    // with
    // another meaning and callers would get garbled answers.
    @Test
    public void should_close_when_the_protocol_versions_differ() {
        EmbeddedLink link = EmbeddedLink.unopened();

        link.channel().writeInbound(encode(hello(FramePipeline.PROTOCOL_VERSION + 1)));

        assertFalse(link.wasOpened());
        assertFalse(link.channel().isOpen());
    }

    // Something that is no process of the system connects to the port, a scanner for example.
    @Test
    public void should_close_when_the_first_frame_is_not_a_hello() {
        EmbeddedLink link = EmbeddedLink.unopened();

        link.channel().writeInbound(encode(PROBE));

        assertFalse(link.wasOpened());
        assertFalse(link.channel().isOpen());
    }

    // A broken peer announces a frame of two gigabytes. Without the bound the process would allocate until it is
    // killed,
    // and every request it holds would be lost.
    @Test
    public void should_close_and_notify_the_listener_when_a_frame_exceeds_the_size_limit() {
        EmbeddedLink link = EmbeddedLink.unopened();
        link.channel().writeInbound(encode(hello(FramePipeline.PROTOCOL_VERSION)));

        link.channel().writeInbound(Unpooled.buffer().writeInt(FramePipeline.LONGEST_FRAME + 1));

        assertFalse(link.channel().isOpen());
        assertTrue(link.closeCauses().getFirst().startsWith("TooLongFrameException"));
    }

    // Bytes are damaged on the way. A frame that cannot be read may have been the end of somebody's answer, so the link
    // is closed and the listener gives every attempt on it up, instead of one answer being lost without a word.
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
