package org.aspenmoor.internal.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.wire.FramePipeline;
import org.aspenmoor.internal.wire.v1.Hello;

/** Opens and accepts links; a single network thread serves all of them. */
public final class LinkNetwork implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 1000;
    private static final int SHUTDOWN_QUIET_MILLISECONDS = 50;
    private static final int SHUTDOWN_TIMEOUT_MILLISECONDS = 2000;

    private final Hello ownHello;
    private final LinkListener listener;
    private final EventLoopGroup eventLoopGroup =
            new NioEventLoopGroup(1, new DefaultThreadFactory("aspenmoor-network", true));

    public LinkNetwork(Hello ownHello, LinkListener listener) {
        this.ownHello = ownHello;
        this.listener = listener;
    }

    /** Listens for links and returns the bound port. */
    public int listen(String address, int port) throws AspenmoorException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoopGroup)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer());
        ChannelFuture bound = bootstrap.bind(address, port).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new AspenmoorException(
                    "The link port cannot be opened: " + bound.cause().getMessage() + ".",
                    address + ":" + port,
                    "Choose another \"linkPort\", or 0 for a free one.");
        }
        return ((InetSocketAddress) bound.channel().localAddress()).getPort();
    }

    /** Opens a link; calls {@code onFailure} if the connection fails, the listener once the link is open. */
    public void connect(String address, int port, Runnable onFailure) {
        new Bootstrap()
                .group(eventLoopGroup)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                .handler(initializer())
                .connect(address, port)
                .addListener(result -> {
                    if (!result.isSuccess()) {
                        onFailure.run();
                    }
                });
    }

    @Override
    public void close() {
        eventLoopGroup
                .shutdownGracefully(SHUTDOWN_QUIET_MILLISECONDS, SHUTDOWN_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly();
    }

    private ChannelInitializer<SocketChannel> initializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                addHandlers(channel);
            }
        };
    }

    private void addHandlers(Channel channel) {
        FramePipeline.addTo(channel.pipeline());
        channel.pipeline().addLast(new LinkChannelHandler(ownHello, listener));
    }
}
