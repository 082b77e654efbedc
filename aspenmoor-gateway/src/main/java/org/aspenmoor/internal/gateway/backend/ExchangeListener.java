package org.aspenmoor.internal.gateway.backend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.aspenmoor.internal.gateway.protocol.AnswerMetadata;

/**
 * Receives the events of an {@link Exchange}; exactly one call of {@link #completed}, {@link #withheld}, {@link #neverSent}
 * or {@link #failed} ends it.
 */
public interface ExchangeListener {
    /** Called when the head of the answer has been received. */
    void headReceived(HttpResponse head, AnswerMetadata metadata);

    /** Returns the length in bytes beyond which the body of the answer is not accepted; the exchange then fails. */
    long maxBodyBytes();

    /** Called when a part of the body has been received; the buffer is valid only during the call unless retained. */
    void dataReceived(ByteBuf part);

    /** Called when the answer is complete. */
    void completed();

    /**
     * Returns why the request must not be sent any more; empty if it may be. Asked when a connection has been opened for
     * it, since what allowed it may have changed meanwhile.
     */
    default Optional<String> refusalAfterConnect() {
        return Optional.empty();
    }

    /** Called when the listener has refused to have the request sent; nothing was sent. */
    default void withheld(String reason) {
        neverSent(reason);
    }

    /** Called when no connection was available; nothing was sent. */
    void neverSent(String reason);

    /** Called when the connection broke or the received data was not an acceptable answer. */
    void failed(String reason);
}
