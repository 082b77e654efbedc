package org.aspenmoor.internal.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.aspenmoor.internal.gateway.backend.ExchangeListener;
import org.aspenmoor.internal.gateway.protocol.AnswerMetadata;

/** Listens to a call whose outcome changes nothing: what it frees lapses by itself some seconds later. */
final class IgnoredAnswer implements ExchangeListener {
    @Override
    public void headReceived(HttpResponse head, AnswerMetadata facts) {
        // Nothing depends on it.
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
        // The handle lapses by itself.
    }

    @Override
    public void failed(String reason) {
        // The handle lapses by itself.
    }
}
