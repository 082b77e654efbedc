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
 * Finds out whether a server that broke a connection has ended. Confined to the event loop.
 *
 * <p>Connections also break where a server lives: it closes idle ones, loses answers, resets those beyond its limit. One
 * that has ended takes no new connection. Its port may be open a moment longer than its connections, so one that is taken
 * is tried a second time. One probe tells for all who ask while it is under way.
 */
public final class ServerProbes {
    /** After which a port that is still open belongs to a server that lives. */
    static final Duration SECOND_LOOK = Duration.ofMillis(100);

    private final EventLoop eventLoop;
    private final Duration secondLook;
    private final Map<BackendServer, List<Listener>> waiting = new HashMap<>();

    ServerProbes(EventLoop eventLoop, Duration secondLook) {
        this.eventLoop = eventLoop;
        this.secondLook = secondLook;
    }

    /** Tells the listener whether the server takes no connection any more. */
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

    /** Looks once the first connection has broken too, or has stood for a while. */
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

    /** A connection that breaks tells enough by that. */
    private static final class IgnoringHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable broken) {
            context.close();
        }
    }

    /** Hears whether a server has ended. */
    @FunctionalInterface
    public interface Listener {
        void probed(boolean ended);
    }
}
