package org.aspenmoor.internal.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import org.aspenmoor.internal.gateway.caller.AnswerWriter;

/**
 * The events that a caller gets in one answer, whichever servers they come from. Confined to the event loop.
 *
 * <p>The head is that of the first server. Only whole events leave, so that another server can go on after the last one.
 */
final class CallerStream {
    private final AnswerWriter link;
    private Optional<String> lastEvent = Optional.empty();
    private boolean begun;

    CallerStream(AnswerWriter link) {
        this.link = link;
    }

    void pass(HttpResponse head, ByteBuf event) {
        Optional<String> identity = EventSplitter.identity(event);
        if (!begun) {
            begun = true;
            HttpResponse first = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status());
            first.headers().set(ForwardedHeaders.copy(head.headers()));
            link.beginAnswer(first);
        }
        if (identity.isPresent()) {
            lastEvent = identity;
        }
        link.sendPart(event);
    }

    /** Returns whether the caller has got any event. */
    boolean begun() {
        return begun;
    }

    /** Returns the identity of the last event that has one. */
    Optional<String> lastEvent() {
        return lastEvent;
    }
}
