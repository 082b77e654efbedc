package org.aspenmoor.internal.gateway.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/** Passes received bytes on to the decoder only if the connection accepts them. */
final class ReceivedBytesHandler extends ChannelInboundHandlerAdapter {
    private final BackendConnection connection;

    ReceivedBytesHandler(BackendConnection connection) {
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes && !connection.accepts(bytes.readableBytes())) {
            ReferenceCountUtil.release(message);
            return;
        }
        context.fireChannelRead(message);
    }
}
