package org.aspenmoor.internal.gateway.caller;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.time.TimeSource;

/** Accepts the connections of callers. All methods but {@link #start} are confined to the event loop. */
public final class CallerServer {
    private static final int MOST_INITIAL_LINE = 16_384;
    private static final int CHUNK_BYTES = 16_384;
    private static final int BACKLOG = 1024;

    /** Consecutive reads from one connection, so that no connection delays the others. */
    private static final int MOST_READS = 16;

    private final RequestService service;
    private final TimeSource time;
    private final Set<CallerConnection> connections = new LinkedHashSet<>();
    private Channel listener;

    public CallerServer(RequestService service, TimeSource time) {
        this.service = service;
        this.time = time;
    }

    /** Opens the port and returns the address it is bound to. */
    public InetSocketAddress start(EventLoopGroup group, InetSocketAddress address) throws AspenmoorException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, readToTheEnd())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accept(channel);
                    }
                });
        listener = ListeningPort.open(bootstrap, address, "The port for callers");
        return (InetSocketAddress) listener.localAddress();
    }

    /** Closes connections that have exceeded their timeouts. */
    public void check(long now) {
        for (CallerConnection connection : List.copyOf(connections)) {
            connection.check(now);
        }
    }

    /** Closes the port, so that no new connections are accepted. */
    public void stopListening() {
        if (listener != null) {
            listener.close();
        }
    }

    /** Closes the connections on which no request is being received or served. */
    public void closeIdle() {
        new ArrayList<>(connections).forEach(CallerConnection::closeIfIdle);
    }

    /** Returns the number of open connections. */
    public int open() {
        return connections.size();
    }

    /** Returns the number of requests being served. */
    public long serving() {
        return connections.stream().filter(CallerConnection::serving).count();
    }

    /**
     * Returns an allocator that reads until no data is left. By default, a read that does not fill its buffer ends the read
     * loop, and a close that follows the data is detected only after the next select.
     */
    private static RecvByteBufAllocator readToTheEnd() {
        AdaptiveRecvByteBufAllocator allocator = new AdaptiveRecvByteBufAllocator();
        allocator.maxMessagesPerRead(MOST_READS);
        return allocator.respectMaybeMoreData(false);
    }

    private void accept(Channel channel) {
        CallerConnection connection = new CallerConnection(channel, service, time);
        connections.add(connection);
        channel.closeFuture().addListener(closed -> connections.remove(connection));
        channel.pipeline()
                .addLast(new ArrivalHandler(connection))
                .addLast(new HttpServerCodec(MOST_INITIAL_LINE, service.limits().mostHeaderBytes(), CHUNK_BYTES))
                .addLast(connection);
    }
}
