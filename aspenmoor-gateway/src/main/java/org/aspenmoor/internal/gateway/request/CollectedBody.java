package org.aspenmoor.internal.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;

/**
 * The body of an answer that is collected until it is complete, in segments that are allocated once. A single buffer that
 * grows takes up to three times the memory of its bytes while it is copied.
 */
final class CollectedBody {
    private static final int MIN_SEGMENT_BYTES = 1024;
    private static final int MAX_SEGMENT_BYTES = 65_536;

    private final CompositeByteBuf segments = Unpooled.compositeBuffer(Integer.MAX_VALUE);
    private ByteBuf lastSegment = Unpooled.EMPTY_BUFFER;
    private int capacity;

    /** Returns by how many bytes the memory of this instance grows when the given number of bytes is added. */
    int growthFor(int byteCount) {
        int growth = 0;
        for (int missing = byteCount - lastSegment.writableBytes(); missing > 0; ) {
            int segment = segmentAfter(capacity + growth);
            growth += segment;
            missing -= segment;
        }
        return growth;
    }

    /** Adds the readable bytes of a buffer, which is left unchanged. */
    void add(ByteBuf part) {
        int index = part.readerIndex();
        while (index < part.writerIndex()) {
            if (!lastSegment.isWritable()) {
                closeLastSegment();
                lastSegment = Unpooled.buffer(segmentAfter(capacity), segmentAfter(capacity));
                capacity += lastSegment.capacity();
            }
            int byteCount = Math.min(lastSegment.writableBytes(), part.writerIndex() - index);
            lastSegment.writeBytes(part, index, byteCount);
            index += byteCount;
        }
    }

    /** Returns the body; the caller owns it. Nothing can be added any more. */
    ByteBuf take() {
        closeLastSegment();
        return segments.retainedSlice();
    }

    void release() {
        lastSegment.release();
        lastSegment = Unpooled.EMPTY_BUFFER;
        segments.release();
    }

    private void closeLastSegment() {
        if (lastSegment.isReadable()) {
            segments.addComponent(true, lastSegment);
        }
        lastSegment = Unpooled.EMPTY_BUFFER;
    }

    private static int segmentAfter(int capacity) {
        return Math.clamp(capacity, MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES);
    }
}
