package org.aspenmoor.internal.gateway.backend;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import org.aspenmoor.internal.gateway.partial.MessageMeter;
import org.aspenmoor.internal.http.StrictResponseDecoder;

/** Decodes the answers on a connection to a backend server. */
final class AnswerDecoder extends StrictResponseDecoder {
    private static final int MAX_INITIAL_LINE_LENGTH = 8192;
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 16_384;

    private boolean headRequested;

    /**
     * Creates a decoder.
     *
     * @param meter measures the memory of what is decoded
     */
    AnswerDecoder(MessageMeter meter) {
        super(meter.configure(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_INITIAL_LINE_LENGTH)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES)));
    }

    /** Sets whether the next answers are to a HEAD request, so that they have no body. */
    void setHeadRequested(boolean requested) {
        headRequested = requested;
    }

    /** Returns how many received bytes follow what has been decoded. */
    int undecodedBytes() {
        return actualReadableBytes();
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        boolean informational = ((HttpResponse) message).status().codeClass() == HttpStatusClass.INFORMATIONAL;
        return super.isContentAlwaysEmpty(message) || (headRequested && !informational);
    }
}
