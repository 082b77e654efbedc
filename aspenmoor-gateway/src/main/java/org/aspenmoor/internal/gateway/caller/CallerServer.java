package org.aspenmoor.internal.gateway.caller;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.gateway.eventloop.LongRoundTask;
import org.aspenmoor.internal.gateway.partial.MessageMeter;
import org.aspenmoor.internal.time.TimeSource;

/** Accepts the connections of callers. All methods but {@link #start} are confined to the event loop. */
public final class CallerServer {
    private static final int MAX_INITIAL_LINE_LENGTH = 16_384;
    private static final int MAX_CHUNK_BYTES = 16_384;
    private static final int BACKLOG = 1024;

    /** Consecutive reads from one connection, so that no connection delays the others. */
    private static final int MAX_CONSECUTIVE_READS = 16;

    private final RequestService service;
    private final TimeSource time;
    private final LongRoundTask longRoundTask;
    private final AnswerBuffers buffers;
    private final Set<CallerConnection> connections = new LinkedHashSet<>();
    private Channel listenerChannel;
    private boolean refusesNewConnections;
    private long lastAcceptedNanos;

    /**
     * Creates a server without an open port.
     *
     * @param longRoundTask called before each request is served
     * @param buffers bounds what is buffered for callers
     */
    public CallerServer(RequestService service, TimeSource time, LongRoundTask longRoundTask, AnswerBuffers buffers) {
        this.service = service;
        this.time = time;
        this.longRoundTask = longRoundTask;
        this.buffers = buffers;
        this.lastAcceptedNanos = time.monotonicNanos();
    }

    /** Opens the port and returns the address it is bound to. */
    public InetSocketAddress start(EventLoopGroup group, InetSocketAddress address) throws AspenmoorException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, readAllAllocator())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accept(channel);
                    }
                });
        listenerChannel = ListeningPort.open(bootstrap, address, "The port for callers");
        return (InetSocketAddress) listenerChannel.localAddress();
    }

    /** Closes connections that have exceeded their timeouts. */
    public void enforceTimeouts(long nowNanos) {
        for (CallerConnection connection : List.copyOf(connections)) {
            connection.enforceTimeouts(nowNanos);
        }
    }

    /** Reads the connections with a request being served, and abandons the requests whose callers have disconnected. */
    public void detectDisconnectedCallers() {
        for (CallerConnection connection : List.copyOf(connections)) {
            connection.detectDisconnect();
        }
    }

    /** Refuses the requests on connections that are accepted from now on. */
    public void refuseNewConnections() {
        refusesNewConnections = true;
    }

    /** Returns whether no connection has been accepted for the period. */
    public boolean quietFor(Duration period, long nowNanos) {
        return nowNanos - lastAcceptedNanos >= period.toNanos();
    }

    /** Closes the port after accepting the connections that wait there; closing it would reset them. */
    public void stopListening() {
        if (listenerChannel != null) {
            acceptWaiting();
            listenerChannel.close();
        }
    }

    /** Accepts the connections that wait at the port; returns whether no connection is open. */
    public boolean noneConnected() {
        if (connections.isEmpty()) {
            acceptWaiting();
        }
        return connections.isEmpty();
    }

    private void acceptWaiting() {
        if (listenerChannel == null || !listenerChannel.isOpen()) {
            return;
        }
        // One read accepts a limited number of connections.
        int before;
        do {
            before = connections.size();
            if (listenerChannel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
                unsafe.read();
            }
        } while (connections.size() > before);
    }

    /**
     * Closes the connections on which no request is being received or served; to be called repeatedly until none is left.
     */
    public void closeIdle(long nowNanos) {
        List.copyOf(connections).forEach(connection -> connection.closeWhenIdle(nowNanos));
    }

    /** Refuses the waiting requests that cannot be expected to end before the process does. */
    public void refuseWaiting() {
        List.copyOf(connections).forEach(CallerConnection::processStopping);
    }

    /** Answers every request that is still open; to be called once, shortly before the process ends. */
    public void endRequests() {
        List.copyOf(connections).forEach(CallerConnection::processEnding);
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return connections.size();
    }

    /** Returns the number of requests being served. */
    public long servedRequests() {
        return connections.stream().filter(CallerConnection::serving).count();
    }

    /**
     * Returns an allocator that reads until no data is left. By default, a read that does not fill its buffer ends
     * the read loop, and a close that follows the data is detected only after the next select.
     */
    private static RecvByteBufAllocator readAllAllocator() {
        AdaptiveRecvByteBufAllocator allocator = new AdaptiveRecvByteBufAllocator();
        allocator.maxMessagesPerRead(MAX_CONSECUTIVE_READS);
        return allocator.respectMaybeMoreData(false);
    }

    private void accept(Channel channel) {
        SentBytesHandler sentBytes = new SentBytesHandler(buffers);
        CallerConnection connection = new CallerConnection(channel, service, time, longRoundTask, sentBytes);
        connections.add(connection);
        lastAcceptedNanos = time.monotonicNanos();
        if (refusesNewConnections) {
            connection.refuseRequests();
        }
        buffers.connected(connection);
        channel.closeFuture().addListener(closed -> {
            connections.remove(connection);
            buffers.disconnected(connection);
        });
        MessageMeter meter = new MessageMeter(buffers.partialMessages());
        HttpDecoderConfig decoder = new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_INITIAL_LINE_LENGTH)
                .setMaxHeaderSize(service.connectionLimits().maxHeaderBytes())
                .setMaxChunkSize(MAX_CHUNK_BYTES);
        channel.pipeline()
                .addLast(sentBytes)
                .addLast(new BytesReceivedHandler(connection))
                .addLast(meter.undecodedBytes())
                .addLast(new HttpServerCodec(meter.configure(decoder)))
                .addLast(meter)
                .addLast(connection);
    }
}
