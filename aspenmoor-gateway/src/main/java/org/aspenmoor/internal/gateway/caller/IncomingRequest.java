package org.aspenmoor.internal.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;

/**
 * A complete request received from a caller.
 *
 * @param head the request line and headers
 * @param body the body; the receiver of the request releases it
 * @param arrivedAt when the head was received, in nanoseconds of the monotonic clock
 */
public record IncomingRequest(HttpRequest head, ByteBuf body, long arrivedAt) {
    /** Returns the value of the Host header without a port; empty if the header is missing. */
    public String host() {
        String host = head.headers().get(HttpHeaderNames.HOST, "");
        int port = host.lastIndexOf(':');
        return port < 0 ? host : host.substring(0, port);
    }

    /** Returns the path without the query. */
    public String path() {
        String uri = head.uri();
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
