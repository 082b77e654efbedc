package org.aspenmoor.internal.gateway.backend;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import org.aspenmoor.internal.gateway.eventloop.LongRoundTask;
import org.aspenmoor.internal.gateway.partial.MessageMeter;
import org.aspenmoor.internal.gateway.partial.PartialMessages;
import org.aspenmoor.internal.gateway.protocol.AnswerMetadata;
import org.aspenmoor.internal.gateway.protocol.BackendProtocol;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.time.TimeSource;

/** The pool of connections to one incarnation of a backend server. Confined to the event loop. */
final class ServerConnectionPool {
    /**
     * A server in the same region accepts a connection within a few milliseconds. A server that has been removed never
     * does, and the operating system's timeout of several seconds is longer than callers wait.
     */
    static final int CONNECT_TIMEOUT_MILLISECONDS = 250;

    private final BackendServer server;
    private final BackendProtocol protocol;
    private final AnswerHeadInspector headInspector;
    private final EventLoop eventLoop;
    private final TimeSource time;
    private final ServerObserver observer;
    private final LongRoundTask longRoundTask;
    private final PartialMessages partialMessages;
    private final Deque<BackendConnection> idleConnections = new ArrayDeque<>();
    private int openCount;
    private long openedTotal;
    private boolean retired;

    ServerConnectionPool(
            BackendServer server,
            BackendProtocol protocol,
            AnswerHeadInspector headInspector,
            EventLoop eventLoop,
            TimeSource time,
            ServerObserver observer,
            LongRoundTask longRoundTask,
            PartialMessages partialMessages) {
        this.server = server;
        this.protocol = protocol;
        this.headInspector = headInspector;
        this.eventLoop = eventLoop;
        this.time = time;
        this.observer = observer;
        this.longRoundTask = longRoundTask;
        this.partialMessages = partialMessages;
    }

    boolean connectsTo(BackendServer other) {
        return server.sameIncarnation(other);
    }

    /** Returns whether a request can be sent now, given how many connections may be open. */
    boolean hasRoom(int maxOpen) {
        return !idleConnections.isEmpty() || openCount < maxOpen;
    }

    /** Sends a request over an idle connection, or over a new one if fewer than the given number are open. */
    void send(Exchange exchange, int maxOpen) {
        BackendConnection reused = takeIdle(exchange);
        if (reused != null) {
            reused.send(exchange);
            return;
        }
        if (openCount >= maxOpen && !closeOldestIdle()) {
            // Reported in a later task, because the sender does not have the exchange yet that is about to be returned.
            eventLoop.execute(() ->
                    reportNeverSent(exchange, openCount + " connections are open, which is the limit for this entry"));
            return;
        }
        connectAndSend(exchange);
    }

    void returnConnection(BackendConnection connection) {
        if (retired) {
            connection.close();
            return;
        }
        idleConnections.addFirst(connection);
    }

    void removeClosed(BackendConnection connection) {
        idleConnections.remove(connection);
    }

    void answerReceived(AnswerMetadata metadata, long sentAt) {
        observer.answerReceived(server, metadata, sentAt);
    }

    void irregularAnswerReceived(IrregularAnswer answer) {
        observer.irregularAnswerReceived(server, answer);
    }

    long nowNanos() {
        return time.monotonicNanos();
    }

    /** Closes idle connections that have almost reached the server's idle timeout. */
    void closeStale() {
        long nowNanos = nowNanos();
        while (!idleConnections.isEmpty() && !idleConnections.peekLast().canBeReused(nowNanos)) {
            idleConnections.pollLast().close();
        }
    }

    /** Closes the idle connections; those in use are closed when their request ends. */
    void retire() {
        retired = true;
        while (!idleConnections.isEmpty()) {
            idleConnections.pollFirst().close();
        }
    }

    long openedTotal() {
        return openedTotal;
    }

    /** Returns the idle connection that was used last of those that may carry an exchange; null if there is none. */
    private BackendConnection takeIdle(Exchange exchange) {
        long nowNanos = nowNanos();
        Iterator<BackendConnection> connections = idleConnections.iterator();
        while (connections.hasNext()) {
            BackendConnection connection = connections.next();
            if (!connection.canBeReused(nowNanos)) {
                connections.remove();
                connection.close();
            } else if (connection.mayCarry(exchange)) {
                connections.remove();
                return connection;
            }
        }
        return null;
    }

    /** Closes the connection that has been idle for longest, to have room for another one; false if none is idle. */
    private boolean closeOldestIdle() {
        if (idleConnections.isEmpty()) {
            return false;
        }
        idleConnections.pollLast().close();
        return true;
    }

    private void connectAndSend(Exchange exchange) {
        openedTotal++;
        openCount++;
        BackendConnection[] created = new BackendConnection[1];
        ChannelFuture connectFuture = new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                .option(ChannelOption.TCP_NODELAY, true)
                // Without it, the end of the server's output cannot be told from any other close.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        MessageMeter meter = new MessageMeter(partialMessages);
                        AnswerDecoder decoder = new AnswerDecoder(meter);
                        created[0] = new BackendConnection(
                                channel, protocol, decoder, headInspector, ServerConnectionPool.this, longRoundTask);
                        channel.pipeline()
                                .addLast(new ReceivedBytesHandler(created[0]))
                                .addLast(meter.undecodedBytes())
                                .addLast(decoder)
                                .addLast(meter)
                                .addLast(new HttpRequestEncoder())
                                .addLast(created[0]);
                    }
                })
                .connect(server.host(), server.port());
        connectFuture.channel().closeFuture().addListener(closed -> openCount--);
        connectFuture.addListener(connectResult -> {
            if (exchange.ended()) {
                connectFuture.channel().close();
                return;
            }
            if (connectResult.isSuccess()) {
                sendUnlessRefused(exchange, created[0]);
                return;
            }
            reportNeverSent(
                    exchange,
                    "cannot connect to the server: " + connectResult.cause().getMessage());
        });
    }

    private static void sendUnlessRefused(Exchange exchange, BackendConnection connection) {
        Optional<String> refusal = exchange.listener().refusalAfterConnect();
        if (refusal.isEmpty()) {
            connection.send(exchange);
            return;
        }
        connection.close();
        exchange.markEnded();
        exchange.request().release();
        exchange.listener().withheld(refusal.get());
    }

    private static void reportNeverSent(Exchange exchange, String reason) {
        if (exchange.ended()) {
            return;
        }
        exchange.markEnded();
        exchange.request().release();
        exchange.listener().neverSent(reason);
    }
}
