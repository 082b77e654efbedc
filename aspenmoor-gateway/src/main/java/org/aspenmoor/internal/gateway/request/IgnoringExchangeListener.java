package org.aspenmoor.internal.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.aspenmoor.internal.gateway.backend.ExchangeListener;
import org.aspenmoor.internal.gateway.protocol.AnswerMetadata;

/** Ignores the outcome of a release call: a cache handle that is not released expires by itself some seconds later. */
final class IgnoringExchangeListener implements ExchangeListener {
    private static final int MAX_BODY_BYTES = 65_536;

    @Override
    public void headReceived(HttpResponse head, AnswerMetadata metadata) {
        // Nothing depends on it.
    }

    @Override
    public long maxBodyBytes() {
        return MAX_BODY_BYTES;
    }

    @Override
    public void dataReceived(ByteBuf part) {
        // Nothing depends on it.
    }

    @Override
    public void completed() {
        // Nothing depends on it.
    }

    @Override
    public void neverSent(String reason) {
        // The handle expires by itself.
    }

    @Override
    public void failed(String reason) {
        // The handle expires by itself.
    }
}
