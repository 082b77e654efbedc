package org.aspenmoor.internal.gateway.backend;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.serving.BackendServer;

/**
 * Finds out whether a server that broke a connection has ended. Confined to the event loop.
 *
 * <p>Connections also break where a server lives: it closes idle ones, loses answers, resets those beyond its limit. One
 * that has ended takes no new connection. One probe tells for all who ask while it is under way.
 */
final class ServerProbes {
    private final EventLoop eventLoop;
    private final Map<BackendServer, List<Runnable>> waiting = new HashMap<>();

    ServerProbes(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    /** Runs the action if the server takes no connection any more. */
    void ifEnded(BackendServer server, Runnable action) {
        boolean first = !waiting.containsKey(server);
        waiting.computeIfAbsent(server, unseen -> new ArrayList<>()).add(action);
        if (first) {
            connect(server);
        }
    }

    private void connect(BackendServer server) {
        ChannelFuture connecting = new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, ServerConnections.CONNECT_TIMEOUT_MILLISECONDS)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(server.host(), server.port());
        connecting.addListener(connected -> {
            List<Runnable> asked = waiting.remove(server);
            if (connected.isSuccess()) {
                connecting.channel().close();
                return;
            }
            asked.forEach(Runnable::run);
        });
    }
}
