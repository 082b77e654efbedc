package org.aspenmoor.internal.gateway.backend;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import java.util.ArrayDeque;
import java.util.Deque;
import org.aspenmoor.internal.gateway.protocol.BackendProtocol;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.time.TimeSource;

/** The connections to one start of one backend server. Confined to the event loop. */
final class ServerConnections {
    /**
     * A server in the same region answers a connection request within a few milliseconds. One that is gone never does;
     * the operating system would try for seconds, longer than callers wait.
     */
    static final int CONNECT_TIMEOUT_MILLISECONDS = 250;

    private static final int MOST_INITIAL_LINE = 8192;
    private static final int MOST_HEADER_BYTES = 65_536;
    private static final int CHUNK_BYTES = 16_384;

    private final BackendServer server;
    private final BackendProtocol protocol;
    private final EventLoop eventLoop;
    private final TimeSource time;
    private final Deque<BackendConnection> idle = new ArrayDeque<>();
    private int open;
    private long opened;
    private boolean retired;

    ServerConnections(BackendServer server, BackendProtocol protocol, EventLoop eventLoop, TimeSource time) {
        this.server = server;
        this.protocol = protocol;
        this.eventLoop = eventLoop;
        this.time = time;
    }

    boolean leadTo(BackendServer other) {
        return server.sameStart(other);
    }

    /** Sends a request, over a new connection only while fewer than the given number are open. */
    void send(Exchange exchange, int mostOpen) {
        BackendConnection reused = takeIdle();
        if (reused != null) {
            reused.send(exchange);
            return;
        }
        if (open >= mostOpen) {
            // Told later, since the sender does not yet hold what this call returns.
            eventLoop.execute(() -> notSent(exchange, open + " connections are open, which is this entry's part"));
            return;
        }
        open(exchange);
    }

    void idle(BackendConnection connection) {
        if (retired) {
            connection.close();
            return;
        }
        idle.addFirst(connection);
    }

    void closed(BackendConnection connection) {
        idle.remove(connection);
    }

    long now() {
        return time.monotonicNanos();
    }

    /** Closes connections that the server would soon close itself. */
    void closeStale() {
        long now = now();
        while (!idle.isEmpty() && !idle.peekLast().usable(now)) {
            idle.pollLast().close();
        }
    }

    /** Keeps no connection from now on; those in use end with their request. */
    void retire() {
        retired = true;
        while (!idle.isEmpty()) {
            idle.pollFirst().close();
        }
    }

    long opened() {
        return opened;
    }

    private BackendConnection takeIdle() {
        long now = now();
        while (!idle.isEmpty()) {
            BackendConnection connection = idle.pollFirst();
            if (connection.usable(now)) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    private void open(Exchange exchange) {
        opened++;
        open++;
        BackendConnection[] made = new BackendConnection[1];
        ChannelFuture connecting = new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        made[0] = new BackendConnection(channel, protocol, ServerConnections.this);
                        channel.pipeline()
                                .addLast(new HttpClientCodec(MOST_INITIAL_LINE, MOST_HEADER_BYTES, CHUNK_BYTES))
                                .addLast(made[0]);
                    }
                })
                .connect(server.host(), server.port());
        connecting.channel().closeFuture().addListener(closed -> open--);
        connecting.addListener(connected -> {
            if (exchange.ended()) {
                connecting.channel().close();
                return;
            }
            if (connected.isSuccess()) {
                made[0].send(exchange);
                return;
            }
            notSent(exchange, "no connection: " + connected.cause().getMessage());
        });
    }

    private static void notSent(Exchange exchange, String reason) {
        if (exchange.ended()) {
            return;
        }
        exchange.finish();
        exchange.request().release();
        exchange.listener().neverSent(reason);
    }
}
