package org.aspenmoor.internal.gateway.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Notifies a caller's connection of received bytes before HTTP decoding, so that a slow request head can time out. */
final class BytesReceivedHandler extends ChannelInboundHandlerAdapter {
    private final CallerConnection connection;

    BytesReceivedHandler(CallerConnection connection) {
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        connection.bytesReceived();
        context.fireChannelRead(message);
    }
}
