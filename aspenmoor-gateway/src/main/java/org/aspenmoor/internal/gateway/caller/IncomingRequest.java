package org.aspenmoor.internal.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;

/**
 * One whole request of a caller.
 *
 * @param head its head
 * @param body its body; whoever takes the request releases it
 * @param arrivedAt when its head had arrived, on the monotonic clock
 */
public record IncomingRequest(HttpRequest head, ByteBuf body, long arrivedAt) {
    /** Returns the host that the request names, without a port; empty where it names none. */
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
