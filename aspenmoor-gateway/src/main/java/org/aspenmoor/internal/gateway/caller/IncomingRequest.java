package org.aspenmoor.internal.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;

/**
 * A complete request received from a caller.
 *
 * @param head the request line and headers
 * @param body the body; the receiver of the request releases it
 * @param receivedAtNanos when the head was received, in nanoseconds of the monotonic clock
 */
public record IncomingRequest(HttpRequest head, ByteBuf body, long receivedAtNanos) {
    /** Returns the value of the Host header without a port; empty if the header is missing. */
    public String host() {
        String host = head.headers().get(HttpHeaderNames.HOST, "");
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }

    /** Returns the path without the query. */
    public String path() {
        String uri = head.uri();
        int queryStart = uri.indexOf('?');
        return queryStart < 0 ? uri : uri.substring(0, queryStart);
    }
}
