package org.aspenmoor.internal.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;

/** The way back to the caller of one request. Confined to the event loop. */
public interface CallerLink {
    /** Sends a whole answer. */
    void answer(FullHttpResponse answer);

    /** Begins an answer whose length is not known. */
    void begin(HttpResponse head);

    /** Sends a part of a begun answer; takes over the reference. */
    void part(ByteBuf part);

    /** Ends a begun answer as complete. */
    void end();

    /** Breaks a begun answer off, so that the caller sees that it is not complete. */
    void breakOff();

    /** Returns whether the caller takes more at the moment. */
    boolean writable();
}
