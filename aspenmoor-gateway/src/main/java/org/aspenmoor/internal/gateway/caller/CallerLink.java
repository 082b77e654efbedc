package org.aspenmoor.internal.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;

/** Writes the answer to one request to its caller. Confined to the event loop. */
public interface CallerLink {
    /** Sends a complete answer. */
    void answer(FullHttpResponse answer);

    /** Begins an answer of unknown length. */
    void begin(HttpResponse head);

    /** Sends a part of an answer that has begun, and takes ownership of the buffer. */
    void part(ByteBuf part);

    /** Ends an answer that has begun, as complete. */
    void end();

    /** Closes the connection within an answer, so that the caller detects that it is incomplete. */
    void breakOff();

    /** Returns whether the connection's outbound buffer has room for more data. */
    boolean writable();
}
