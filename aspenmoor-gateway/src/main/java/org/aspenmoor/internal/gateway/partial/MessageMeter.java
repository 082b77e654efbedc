package org.aspenmoor.internal.gateway.partial;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Measures the memory of the message that a connection receives: headers from when they are decoded until the message is
 * complete, and the line that is incomplete. To be placed behind the decoder.
 *
 * <p>A header of six bytes takes thirty times as much memory once it is decoded, so bytes received would not tell.
 */
public final class MessageMeter extends ChannelInboundHandlerAdapter implements PartialMessage {
    private final PartialMessages messages;
    private ChannelHandlerContext context;
    private boolean decoded;
    private boolean discarded;

    /** Creates the meter of a new connection. */
    public MessageMeter(PartialMessages messages) {
        this.messages = messages;
    }

    /** Makes a decoder create headers that this instance measures. */
    public HttpDecoderConfig configure(HttpDecoderConfig decoder) {
        return decoder.setHeadersFactory(new MeteredHeadersFactory(this, this::release))
                .setTrailersFactory(new MeteredHeadersFactory(this, () -> {}));
    }

    /** Returns the handler that measures received bytes, to be placed before the decoder. */
    public ChannelHandler undecodedBytes() {
        return new UndecodedBytes();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext handlerContext) {
        context = handlerContext;
    }

    @Override
    public void channelRead(ChannelHandlerContext handlerContext, Object message) {
        decoded = true;
        handlerContext.fireChannelRead(message);
        if (message instanceof LastHttpContent) {
            release();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext handlerContext) {
        discarded = true;
        release();
        handlerContext.fireChannelInactive();
    }

    @Override
    public void discard() {
        discarded = true;
        context.fireExceptionCaught(new MessageDiscardedException());
    }

    void headerAdded(int byteCount) {
        decoded = true;
        add(byteCount);
    }

    private void add(int byteCount) {
        if (!discarded) {
            messages.add(this, byteCount);
        }
    }

    private void release() {
        messages.release(this);
    }

    /** Counts the bytes of reads of which the decoder has made nothing; it keeps them. */
    private final class UndecodedBytes extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext handlerContext, Object message) {
            int byteCount = message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
            decoded = false;
            handlerContext.fireChannelRead(message);
            if (!decoded) {
                add(byteCount);
            }
        }
    }
}
