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
 * <p>A running server also breaks connections: it closes idle ones, loses answers, and resets connections that exceed
 * its limit. A terminated server accepts no new connection. Its port may stay open a little longer than its
 * connections, so a successful connection attempt is repeated once. Listeners that are added during a probe share its
 * result.
 */
public final class ServerProbes {
    /** How long the first connection is held before the second attempt; a server whose port is then open is running. */
    static final Duration SECOND_ATTEMPT_DELAY = Duration.ofMillis(100);

    private final EventLoop eventLoop;
    private final Duration secondAttemptDelay;
    private final Map<BackendServer, List<Listener>> waitingListeners = new HashMap<>();

    ServerProbes(EventLoop eventLoop, Duration secondAttemptDelay) {
        this.eventLoop = eventLoop;
        this.secondAttemptDelay = secondAttemptDelay;
    }

    /** Notifies the listener whether the server has stopped accepting connections. */
    void probe(BackendServer server, Listener listener) {
        boolean startsProbe = !waitingListeners.containsKey(server);
        waitingListeners.computeIfAbsent(server, key -> new ArrayList<>()).add(listener);
        if (startsProbe) {
            connectFirst(server);
        }
    }

    private void connectFirst(BackendServer server) {
        ChannelFuture connectFuture = connect(server);
        connectFuture.addListener(connectResult -> {
            if (connectResult.isSuccess()) {
                connectAgain(server, connectFuture.channel());
            } else {
                notifyListeners(server, true);
            }
        });
    }

    /** Connects again once the first connection has broken or has been open for the delay. */
    private void connectAgain(BackendServer server, Channel firstConnection) {
        Future<?> closeTask =
                eventLoop.schedule(() -> firstConnection.close(), secondAttemptDelay.toNanos(), TimeUnit.NANOSECONDS);
        firstConnection.closeFuture().addListener(closed -> {
            closeTask.cancel(false);
            ChannelFuture connectFuture = connect(server);
            connectFuture.addListener(connectResult -> {
                connectFuture.channel().close();
                notifyListeners(server, !connectResult.isSuccess());
            });
        });
    }

    private ChannelFuture connect(BackendServer server) {
        return new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, ServerConnectionPool.CONNECT_TIMEOUT_MILLISECONDS)
                .handler(new CloseOnErrorHandler())
                .connect(server.host(), server.port());
    }

    private void notifyListeners(BackendServer server, boolean terminated) {
        waitingListeners.remove(server).forEach(listener -> listener.probed(terminated));
    }

    /** Closes a connection that fails; the probe only depends on whether the connection is open. */
    private static final class CloseOnErrorHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** Receives the result of a probe. */
    @FunctionalInterface
    public interface Listener {
        void probed(boolean terminated);
    }
}
