package org.aspenmoor.internal.gateway.backend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.aspenmoor.internal.gateway.protocol.AnswerFacts;

/** Hears what becomes of one request to one backend server; exactly one of the last three calls ends it. */
public interface ExchangeListener {
    /** The head of the answer came. */
    void head(HttpResponse head, AnswerFacts facts);

    /** A part of the body came; the listener does not own the buffer. */
    void data(ByteBuf part);

    /** The answer is complete. */
    void complete();

    /** No connection came about; nothing was sent. */
    void neverSent(String reason);

    /** The connection broke, or what came is no answer to this request. */
    void broken(String reason);
}
