package org.aspenmoor.internal.gateway.request;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Map;

/** Copies the end-to-end headers of a message; hop-by-hop headers are left out. */
final class ForwardedHeaders {
    private static final List<CharSequence> OF_ONE_CONNECTION = List.of(
            HttpHeaderNames.CONNECTION,
            "keep-alive",
            "proxy-connection",
            HttpHeaderNames.PROXY_AUTHENTICATE,
            HttpHeaderNames.PROXY_AUTHORIZATION,
            HttpHeaderNames.TE,
            HttpHeaderNames.TRAILER,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.UPGRADE,
            HttpHeaderNames.EXPECT,
            HttpHeaderNames.CONTENT_LENGTH);

    private ForwardedHeaders() {}

    static HttpHeaders copy(HttpHeaders from) {
        HttpHeaders copy = new DefaultHttpHeaders();
        for (Map.Entry<String, String> header : from) {
            copy.add(header.getKey(), header.getValue());
        }
        for (String listed : from.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : listed.split(",", -1)) {
                if (!name.isBlank()) {
                    copy.remove(name.strip());
                }
            }
        }
        OF_ONE_CONNECTION.forEach(copy::remove);
        return copy;
    }
}
