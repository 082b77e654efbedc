package org.aspenmoor.internal.link;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.Optional;
import org.aspenmoor.internal.wire.FramePipeline;
import org.aspenmoor.internal.wire.v1.Frame;
import org.aspenmoor.internal.wire.v1.Hello;
import org.jboss.logging.Logger;

/**
 * Handles one connection: each side first sends a {@code Hello} frame, then other frames.
 *
 * <p>A process with another protocol version may interpret the same bytes differently, which would corrupt answers. The
 * versions are therefore compared before any other frame is read; if they differ, the cause is logged and the link
 * closed.
 */
final class LinkChannelHandler extends SimpleChannelInboundHandler<Frame> {
    private static final Logger LOG = Logger.getLogger("link");

    private final Hello ownHello;
    private final LinkListener listener;
    private Optional<Link> link = Optional.empty();
    private String closeCause = "the peer closed the connection";

    LinkChannelHandler(Hello ownHello, LinkListener listener) {
        this.ownHello = ownHello;
        this.listener = listener;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.writeAndFlush(Frame.newBuilder().setHello(ownHello).build());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (link.isPresent()) {
            listener.received(link.get(), frame);
            return;
        }
        if (!frame.hasHello()) {
            closeWithCause(context, "the first frame is not a Hello");
            return;
        }
        receiveHello(context, frame.getHello());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        link.ifPresent(openedLink -> listener.closed(openedLink, closeCause));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        closeWithCause(context, cause.getClass().getSimpleName() + ": " + cause.getMessage());
    }

    private void receiveHello(ChannelHandlerContext context, Hello peer) {
        if (peer.getProtocolVersion() != FramePipeline.PROTOCOL_VERSION) {
            closeWithCause(
                    context,
                    "protocol version " + peer.getProtocolVersion() + " of " + peer.getProcess() + " does not match "
                            + FramePipeline.PROTOCOL_VERSION);
            return;
        }
        Link openedLink = new Link(context.channel(), peer);
        link = Optional.of(openedLink);
        listener.opened(openedLink);
    }

    private void closeWithCause(ChannelHandlerContext context, String cause) {
        closeCause = cause;
        LOG.warnf("link: closed the connection to %s: %s", context.channel().remoteAddress(), cause);
        context.close();
    }
}
