package org.aspenmoor.internal.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;

/**
 * The request that a caller is sending, and the memory reserved for its body, which is released only when the request has
 * been answered. Confined to the event loop.
 */
final class RequestBuffer {
    private final RequestService service;
    private HttpRequest head;
    private CompositeByteBuf body;
    private int reservedBytes;
    private long headReceivedAtNanos;

    RequestBuffer(RequestService service) {
        this.service = service;
    }

    /** Begins a request, whose body follows. */
    void begin(HttpRequest newHead, long nowNanos) {
        head = newHead;
        body = Unpooled.compositeBuffer(Integer.MAX_VALUE);
        headReceivedAtNanos = nowNanos;
    }

    /** Returns whether the head of a request that is still incomplete has been received. */
    boolean begun() {
        return head != null;
    }

    /** Returns the number of bytes of the body that have been added. */
    int bodyBytes() {
        return body.readableBytes();
    }

    /**
     * Reserves memory for a part of the body and returns whether there is room. Making room may drop callers, this one
     * among them.
     */
    boolean reserve(int byteCount) {
        boolean reserved = service.reserveBodyBytes(byteCount);
        reservedBytes += reserved ? byteCount : 0;
        return reserved;
    }

    /** Adds a part of the body for which memory is reserved. */
    void add(ByteBuf part) {
        body.addComponent(true, part.retain());
    }

    /** Ends the request and returns it; the memory for its body stays reserved. */
    IncomingRequest complete() {
        IncomingRequest request = new IncomingRequest(head, body, headReceivedAtNanos);
        head = null;
        body = null;
        return request;
    }

    /** Discards what has been received of an incomplete request, and releases the memory that is reserved. */
    void discard() {
        head = null;
        if (body != null) {
            body.release();
            body = null;
        }
        releaseReserved();
    }

    /** Releases the memory that is reserved for the body of a request that has been answered. */
    void releaseReserved() {
        service.releaseBodyBytes(reservedBytes);
        reservedBytes = 0;
    }
}
