package org.aspenmoor.internal.link;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.aspenmoor.internal.wire.FramePipeline;
import org.aspenmoor.internal.wire.v1.Frame;
import org.aspenmoor.internal.wire.v1.Hello;

/** A link on an embedded channel, without a network; sent frames are recorded for the test. */
public final class EmbeddedLink {
    private final EmbeddedChannel channel;
    private final List<Link> opened = new ArrayList<>();
    private final List<Frame> received = new ArrayList<>();
    private final List<String> closeCauses = new ArrayList<>();

    private EmbeddedLink(boolean withCodec) {
        this.channel = new EmbeddedChannel();
        if (withCodec) {
            FramePipeline.addTo(channel.pipeline());
        }
        channel.pipeline().addLast(new LinkChannelHandler(Hello.getDefaultInstance(), new Recorder()));
        channel.pipeline().fireChannelActive();
        channel.releaseOutbound();
    }

    /** Opens a link that carries frames as objects, without the codec. */
    public static EmbeddedLink open(Hello peer) {
        EmbeddedLink link = new EmbeddedLink(false);
        link.channel.writeInbound(Frame.newBuilder().setHello(peer).build());
        return link;
    }

    /** Returns a link with the codec, on which the peer has not sent anything yet. */
    static EmbeddedLink unopened() {
        return new EmbeddedLink(true);
    }

    /** Opens a link whose peer is the agent of a backend server. */
    public static EmbeddedLink openFromAgentOf(String backend) {
        return open(Hello.newBuilder()
                .setProtocolVersion(FramePipeline.PROTOCOL_VERSION)
                .setProcess("agent-" + backend)
                .setIncarnation("incarnation-" + backend)
                .setBackend(backend)
                .setRequestCredit(8)
                .build());
    }

    /** Returns the opened link of the process under test. */
    public Link link() {
        return opened.getFirst();
    }

    /** Returns and removes the frames sent so far. */
    public List<Frame> takeSent() {
        List<Frame> frames = new ArrayList<>();
        Object next = channel.readOutbound();
        while (next != null) {
            frames.add((Frame) next);
            next = channel.readOutbound();
        }
        return frames;
    }

    EmbeddedChannel channel() {
        return channel;
    }

    boolean wasOpened() {
        return !opened.isEmpty();
    }

    List<Frame> received() {
        return received;
    }

    List<String> closeCauses() {
        return closeCauses;
    }

    private final class Recorder implements LinkListener {
        @Override
        public void opened(Link link) {
            opened.add(link);
        }

        @Override
        public void received(Link link, Frame frame) {
            received.add(frame);
        }

        @Override
        public void closed(Link link, String cause) {
            closeCauses.add(cause);
        }
    }
}
