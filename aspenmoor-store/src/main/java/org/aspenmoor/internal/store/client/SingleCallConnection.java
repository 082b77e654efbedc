package org.aspenmoor.internal.store.client;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.aspenmoor.internal.http.StrictResponseDecoder;

/**
 * A connection for one call.
 *
 * <p>On a connection that is kept, the rest of an earlier answer that was sent twice is read as the beginning of the
 * next answer; a conditional write that failed then counts as applied. Nothing can precede the first answer.
 */
final class SingleCallConnection implements AutoCloseable {
    /** A page of the store has a megabyte; a body without end must not use up the memory. */
    private static final int MAX_BODY_BYTES = 32 * 1024 * 1024;

    /** One thread for all stores of a process, since stores are not closed. */
    private static final EventLoopGroup EVENT_LOOP =
            new NioEventLoopGroup(1, new DefaultThreadFactory("aspenmoor-store", true));

    private final Channel channel;
    private final CompletableFuture<StoreAnswer> answer;

    private SingleCallConnection(Channel channel, CompletableFuture<StoreAnswer> answer) {
        this.channel = channel;
        this.answer = answer;
    }

    /** Connects; if this fails, nothing was sent. */
    static SingleCallConnection open(InetSocketAddress address, Duration connectTimeout)
            throws IOException, InterruptedException {
        CompletableFuture<StoreAnswer> answer = new CompletableFuture<>();
        ChannelFuture connecting = new Bootstrap()
                .group(EVENT_LOOP)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis() + 1)
                .option(ChannelOption.TCP_NODELAY, true)
                // Without it, the end of the store's output cannot be told from any other close.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpRequestEncoder())
                                .addLast(new StrictResponseDecoder(new HttpDecoderConfig()))
                                .addLast(new StoreHeadHandler())
                                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                .addLast(new StoreAnswerHandler(answer));
                    }
                })
                .connect(address);
        try {
            connecting.await();
        } catch (InterruptedException interrupted) {
            connecting.channel().close();
            throw interrupted;
        }
        if (!connecting.isSuccess()) {
            throw new IOException(connecting.cause());
        }
        return new SingleCallConnection(connecting.channel(), answer);
    }

    /** Sends the call and takes ownership of its buffer; the future completes with the whole answer. */
    CompletableFuture<StoreAnswer> send(FullHttpRequest call) {
        channel.writeAndFlush(call).addListener(written -> {
            if (!written.isSuccess()) {
                answer.completeExceptionally(written.cause());
            }
        });
        return answer;
    }

    @Override
    public void close() {
        channel.close();
    }
}
