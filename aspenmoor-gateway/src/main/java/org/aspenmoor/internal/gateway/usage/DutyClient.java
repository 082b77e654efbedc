package org.aspenmoor.internal.gateway.usage;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.aspenmoor.internal.gateway.protocol.DutyProtocol;
import org.aspenmoor.internal.http.StrictResponseDecoder;
import org.aspenmoor.internal.usage.UsageReceiver;
import org.aspenmoor.internal.usage.UsageReport;

/** Sends the calls of duties to the platform, each on its own connection. Called by one worker thread. */
public final class DutyClient implements UsageReceiver {
    /** A receiver that works answers within milliseconds. */
    private static final Duration MAX_CALL_TIME = Duration.ofMillis(700);

    private static final int MAX_RESPONSE_BYTES = 65_536;

    private final InetSocketAddress address;
    private final DutyProtocol protocol;
    private final String holder;
    private final EventLoop eventLoop;

    /**
     * Creates a client.
     *
     * @param holder the name of this entry
     */
    public DutyClient(InetSocketAddress address, DutyProtocol protocol, String holder, EventLoop eventLoop) {
        this.address = address;
        this.protocol = protocol;
        this.holder = holder;
        this.eventLoop = eventLoop;
    }

    @Override
    public Result send(UsageReport report, long fencingNumber, Duration timeout) throws InterruptedException {
        Duration callTime = timeout.compareTo(MAX_CALL_TIME) < 0 ? timeout : MAX_CALL_TIME;
        CompletableFuture<HttpResponseStatus> status = new CompletableFuture<>();
        ChannelFuture connecting = connect(status, callTime);
        connecting.addListener(connected -> {
            if (connected.isSuccess()) {
                connecting.channel().writeAndFlush(protocol.createUsageRequest(report, holder, fencingNumber));
            } else {
                status.completeExceptionally(connected.cause());
            }
        });
        try {
            HttpResponseStatus received = status.get(callTime.toMillis(), TimeUnit.MILLISECONDS);
            return received.codeClass() == HttpStatusClass.SUCCESS
                    ? new Result.Accepted()
                    : new Result.Failed("status " + received.code());
        } catch (ExecutionException failure) {
            return new Result.Failed(String.valueOf(failure.getCause().getMessage()));
        } catch (TimeoutException late) {
            return new Result.Failed("no answer within " + callTime.toMillis() + " ms");
        } finally {
            connecting.channel().close();
        }
    }

    /**
     * Opens a connection that is reset when it is closed. If it were closed normally, the operating system would go on
     * sending a call that is held up, and it could arrive while another entry holds the lease.
     */
    private ChannelFuture connect(CompletableFuture<HttpResponseStatus> status, Duration connectTime) {
        return new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTime.toMillis() + 1)
                .option(ChannelOption.SO_LINGER, 0)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpRequestEncoder())
                                .addLast(new StrictResponseDecoder(new HttpDecoderConfig()))
                                .addLast(new HttpObjectAggregator(MAX_RESPONSE_BYTES))
                                .addLast(new ResponseHandler(status));
                    }
                })
                .connect(address);
    }

    private static final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final CompletableFuture<HttpResponseStatus> status;

        ResponseHandler(CompletableFuture<HttpResponseStatus> status) {
            this.status = status;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            // A head that is malformed behind its status line still has the status.
            if (response.decoderResult().isFailure()) {
                status.completeExceptionally(response.decoderResult().cause());
                return;
            }
            status.complete(response.status());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            status.completeExceptionally(new IOException("the connection was closed before the answer"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            status.completeExceptionally(cause);
        }
    }
}
