package org.aspenmoor.internal.gateway.protocol;

import io.netty.handler.codec.http.HttpRequest;

/** Reads the headers of callers' requests. */
public interface CallerProtocol {
    /** Reads the headers of a request; a malformed header is treated as missing. */
    CallerHeaders readHead(HttpRequest head);
}
