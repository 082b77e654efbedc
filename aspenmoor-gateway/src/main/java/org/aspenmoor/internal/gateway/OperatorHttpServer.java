package org.aspenmoor.internal.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.Supplier;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.gateway.caller.ListeningPort;
import org.aspenmoor.internal.gateway.caller.LocalAnswers;

/** HTTP server for a fixed set of paths: readiness, metrics and the state dump. */
final class OperatorHttpServer {
    private static final int MAX_REQUEST_BYTES = 16_384;

    private final Map<String, Supplier<FullHttpResponse>> pages;

    OperatorHttpServer(Map<String, Supplier<FullHttpResponse>> pages) {
        this.pages = Map.copyOf(pages);
    }

    InetSocketAddress start(EventLoopGroup group, InetSocketAddress address) throws AspenmoorException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
                                .addLast(new PageHandler());
                    }
                });
        Channel listener = ListeningPort.open(bootstrap, address, "The port for operators");
        return (InetSocketAddress) listener.localAddress();
    }

    private final class PageHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            String path = request.uri().split("\\?", 2)[0];
            Supplier<FullHttpResponse> page = pages.get(path);
            FullHttpResponse answer = page == null
                    ? LocalAnswers.of(HttpResponseStatus.NOT_FOUND, "The path does not exist.")
                    : page.get();
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            HttpUtil.setKeepAlive(answer, keepAlive);
            if (keepAlive) {
                context.writeAndFlush(answer);
            } else {
                context.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
