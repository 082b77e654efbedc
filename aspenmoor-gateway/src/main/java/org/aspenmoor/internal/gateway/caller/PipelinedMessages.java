package org.aspenmoor.internal.gateway.caller;

import io.netty.handler.codec.http.HttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The parts of requests that a caller has sent behind the one being served, in the order in which they were read. Their
 * bytes count toward those that the entry may buffer. Confined to the event loop.
 */
final class PipelinedMessages {
    /** Number of bytes beyond which nothing more is to be read. */
    static final int MAX_BYTES = 65_536;

    /** Number of HTTP objects beyond which nothing more is to be read. */
    private static final int MAX_MESSAGES = 64;

    private final RequestService service;
    private final Deque<Object> messages = new ArrayDeque<>();
    private int bytes;
    private int reservedBytes;
    private boolean reservationRefused;

    PipelinedMessages(RequestService service) {
        this.service = service;
    }

    /** Adds a message and takes ownership of it. */
    void add(Object message) {
        int byteCount = byteCount(message);
        messages.addLast(message);
        bytes += byteCount;
        if (service.reserveBodyBytes(byteCount)) {
            reservedBytes += byteCount;
        } else {
            reservationRefused = true;
        }
    }

    /** Removes and returns the first message, whose bytes are no longer counted. */
    Object remove() {
        Object message = messages.removeFirst();
        int byteCount = byteCount(message);
        bytes -= byteCount;
        reservationRefused &= !messages.isEmpty();
        release(Math.min(byteCount, reservedBytes));
        return message;
    }

    boolean isEmpty() {
        return messages.isEmpty();
    }

    /** Returns whether nothing more is to be read until messages have been removed. */
    boolean isFull() {
        return bytes > MAX_BYTES || messages.size() > MAX_MESSAGES || reservationRefused;
    }

    /** Removes all messages. */
    void discard() {
        while (!messages.isEmpty()) {
            ReferenceCountUtil.release(remove());
        }
        release(reservedBytes);
    }

    private void release(int byteCount) {
        reservedBytes -= byteCount;
        service.releaseBodyBytes(byteCount);
    }

    private static int byteCount(Object message) {
        return message instanceof HttpContent content ? content.content().readableBytes() : 0;
    }
}
