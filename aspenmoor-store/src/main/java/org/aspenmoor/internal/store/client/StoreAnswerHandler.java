package org.aspenmoor.internal.store.client;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpResponse;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

/** Completes a call with the first answer of the store that is final and whole. */
final class StoreAnswerHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final CompletableFuture<StoreAnswer> answer;

    StoreAnswerHandler(CompletableFuture<StoreAnswer> answer) {
        this.answer = answer;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
        if (response.decoderResult().isFailure()) {
            answer.completeExceptionally(response.decoderResult().cause());
            return;
        }
        // The decoder also ends an answer without a length when the connection is closed for another reason.
        if (!context.channel().isOpen()) {
            answer.completeExceptionally(new IOException("the connection was closed within the answer"));
            return;
        }
        answer.complete(new StoreAnswer(
                response.status().code(), response.headers(), response.content().toString(StandardCharsets.UTF_8)));
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            answer.completeExceptionally(new IOException("the connection was closed before the answer"));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        answer.completeExceptionally(new IOException("the connection was closed before the answer"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        answer.completeExceptionally(cause);
        context.close();
    }
}
