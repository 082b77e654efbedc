package org.aspenmoor.internal.gateway.backend;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.internal.serving.BackendServer;

/**
 * Checks whether a server whose connection broke has terminated. Confined to the event loop.
 *
 * <p>A running server also breaks connections: it closes idle ones, loses answers, and resets connections that exceed its
 * limit. A terminated server accepts no new connection. Its port may stay open a little longer than its connections, so a
 * successful connection attempt is repeated once. Listeners that are added during a probe share its result.
 */
public final class ServerProbes {
    /** How long the first connection is held before the second attempt; a server whose port is then open is running. */
    static final Duration SECOND_LOOK = Duration.ofMillis(100);

    private final EventLoop eventLoop;
    private final Duration secondLook;
    private final Map<BackendServer, List<Listener>> waiting = new HashMap<>();

    ServerProbes(EventLoop eventLoop, Duration secondLook) {
        this.eventLoop = eventLoop;
        this.secondLook = secondLook;
    }

    /** Notifies the listener whether the server has stopped accepting connections. */
    void probe(BackendServer server, Listener listener) {
        boolean first = !waiting.containsKey(server);
        waiting.computeIfAbsent(server, unseen -> new ArrayList<>()).add(listener);
        if (first) {
            lookFirst(server);
        }
    }

    private void lookFirst(BackendServer server) {
        ChannelFuture connecting = connect(server);
        connecting.addListener(connected -> {
            if (connected.isSuccess()) {
                lookAgain(server, connecting.channel());
            } else {
                tell(server, true);
            }
        });
    }

    /** Connects again once the first connection has broken or has been open for the delay. */
    private void lookAgain(BackendServer server, Channel first) {
        Future<?> stood = eventLoop.schedule(() -> first.close(), secondLook.toNanos(), TimeUnit.NANOSECONDS);
        first.closeFuture().addListener(closed -> {
            stood.cancel(false);
            ChannelFuture connecting = connect(server);
            connecting.addListener(connected -> {
                connecting.channel().close();
                tell(server, !connected.isSuccess());
            });
        });
    }

    private ChannelFuture connect(BackendServer server) {
        return new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, ServerConnections.CONNECT_TIMEOUT_MILLISECONDS)
                .handler(new IgnoringHandler())
                .connect(server.host(), server.port());
    }

    private void tell(BackendServer server, boolean ended) {
        waiting.remove(server).forEach(listener -> listener.probed(ended));
    }

    /** Closes a connection that fails; the probe only depends on whether the connection is open. */
    private static final class IgnoringHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable broken) {
            context.close();
        }
    }

    /** Receives the result of a probe. */
    @FunctionalInterface
    public interface Listener {
        void probed(boolean ended);
    }
}
