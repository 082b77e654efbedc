package org.aspenmoor.internal.gateway.protocol;

import io.netty.handler.codec.http.HttpRequest;

/** The headers that callers use. */
public interface CallerProtocol {
    /** Reads what a caller says of its request; what cannot be read counts as not said. */
    CallerRequest read(HttpRequest head);
}
