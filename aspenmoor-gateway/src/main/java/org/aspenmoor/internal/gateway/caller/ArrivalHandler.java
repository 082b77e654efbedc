package org.aspenmoor.internal.gateway.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Tells a caller's connection of bytes before they make a whole head, so that a slow head can be timed. */
final class ArrivalHandler extends ChannelInboundHandlerAdapter {
    private final CallerConnection connection;

    ArrivalHandler(CallerConnection connection) {
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        connection.bytesArrived();
        context.fireChannelRead(message);
    }
}
