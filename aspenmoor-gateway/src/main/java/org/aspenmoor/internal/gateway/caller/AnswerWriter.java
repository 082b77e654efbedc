package org.aspenmoor.internal.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;

/** Writes the answer to one request to its caller. Confined to the event loop. */
public interface AnswerWriter {
    /** Sends a complete answer. */
    void sendAnswer(FullHttpResponse answer);

    /** Begins an answer of unknown length. */
    void beginAnswer(HttpResponse head);

    /** Sends a part of an answer that has begun, and takes ownership of the buffer. */
    void sendPart(ByteBuf part);

    /** Ends an answer that has begun, as complete. */
    void endAnswer();

    /** Closes the connection within an answer, so that the caller detects that it is incomplete. */
    void abortAnswer();

    /**
     * Reads what has arrived on the caller's connection, and returns whether the caller is still connected. Otherwise a
     * close that has arrived would be read only after all other work that is due.
     */
    boolean callerConnected();

    /** Returns whether the connection's outbound buffer has room for more data. */
    boolean writable();
}
