package org.aspenmoor.internal.gateway.partial;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/** Creates the headers of the messages on one connection. */
final class MeteredHeadersFactory implements HttpHeadersFactory {
    private final MessageMeter meter;
    private final Runnable beforeHeaders;

    /**
     * Creates a factory.
     *
     * @param beforeHeaders called before headers are created
     */
    MeteredHeadersFactory(MessageMeter meter, Runnable beforeHeaders) {
        this.meter = meter;
        this.beforeHeaders = beforeHeaders;
    }

    @Override
    public HttpHeaders newHeaders() {
        beforeHeaders.run();
        return new MeteredHeaders(meter);
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
        return EmptyHttpHeaders.INSTANCE;
    }
}
