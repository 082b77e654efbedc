package org.aspenmoor.internal.gateway.request;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Map;

/** Copies the end-to-end headers of a message; hop-by-hop headers are left out. */
final class ForwardedHeaders {
    private static final List<CharSequence> HOP_BY_HOP = List.of(
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

    static HttpHeaders copy(HttpHeaders original) {
        HttpHeaders copy = new DefaultHttpHeaders();
        for (Map.Entry<String, String> header : original) {
            copy.add(header.getKey(), header.getValue());
        }
        for (String connectionOptions : original.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : connectionOptions.split(",", -1)) {
                if (!name.isBlank()) {
                    copy.remove(name.strip());
                }
            }
        }
        HOP_BY_HOP.forEach(copy::remove);
        return copy;
    }
}
