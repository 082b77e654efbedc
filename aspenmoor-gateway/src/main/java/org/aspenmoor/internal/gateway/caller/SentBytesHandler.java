package org.aspenmoor.internal.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;

/** Counts the bytes that are written to one caller and those that the operating system has taken. */
final class SentBytesHandler extends ChannelOutboundHandlerAdapter {
    private final AnswerBuffers buffers;
    private long completedBytes;

    SentBytesHandler(AnswerBuffers buffers) {
        this.buffers = buffers;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (!(message instanceof ByteBuf bytes)) {
            context.write(message, promise);
            return;
        }
        int byteCount = bytes.readableBytes();
        ChannelPromise completion = promise.unvoid();
        completion.addListener(result -> completedBytes += byteCount);
        context.write(message, completion);
        buffers.written(byteCount);
    }

    /** Returns how many bytes the operating system has taken; includes a part of a large buffer. */
    long sentBytes(ChannelOutboundBuffer pending) {
        return completedBytes + (pending == null ? 0 : pending.currentProgress());
    }
}
