package org.aspenmoor.internal.gateway.partial;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

/** The headers of a message that is being received; reports the memory that each takes. */
final class MeteredHeaders extends DefaultHttpHeaders {
    /** Memory of a header besides its characters: the entry and two strings, in bytes. */
    private static final int BYTES_PER_HEADER = 160;

    private final MessageMeter meter;

    MeteredHeaders(MessageMeter meter) {
        this.meter = meter;
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        meter.headerAdded(bytesOf(name, value));
        return super.add(name, value);
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        meter.headerAdded(bytesOf(name, value));
        return super.add(name, value);
    }

    private static int bytesOf(CharSequence name, Object value) {
        return BYTES_PER_HEADER + name.length() + (value instanceof CharSequence text ? text.length() : 0);
    }
}
