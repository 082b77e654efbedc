package org.aspenmoor.internal.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import org.aspenmoor.internal.gateway.caller.AnswerWriter;
import org.aspenmoor.internal.serving.SoftwareVersion;
import org.aspenmoor.internal.serving.VersionRequirement;

/**
 * The event stream sent to one caller; its events may come from several servers. Confined to the event loop.
 *
 * <p>The head is that of the first server. Only complete events are sent, so that another server can continue after the
 * last one; only one of the software version that has written the first event may do so.
 */
final class CallerStream {
    private final AnswerWriter writer;
    private Optional<String> lastEventId = Optional.empty();
    private VersionRequirement versionRequirement;
    private boolean begun;

    /**
     * Creates a stream.
     *
     * @param versionRequirement which software versions may write its first event
     */
    CallerStream(AnswerWriter writer, VersionRequirement versionRequirement) {
        this.writer = writer;
        this.versionRequirement = versionRequirement;
    }

    /**
     * Sends an event to the caller.
     *
     * @param version the software version of the server that has written it
     */
    void forward(HttpResponse head, ByteBuf event, SoftwareVersion version) {
        Optional<String> eventId = EventSplitter.eventId(event);
        if (!begun) {
            begun = true;
            versionRequirement = new VersionRequirement.Exactly(version);
            HttpResponse callerHead = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status());
            callerHead.headers().set(ForwardedHeaders.copy(head.headers()));
            writer.beginAnswer(callerHead);
        }
        if (eventId.isPresent()) {
            lastEventId = eventId;
        }
        writer.sendPart(event);
    }

    /** Returns whether any event has been sent to the caller. */
    boolean begun() {
        return begun;
    }

    /** Returns which software versions may write the next event. */
    VersionRequirement versionRequirement() {
        return versionRequirement;
    }

    /** Returns the id of the last event that has one. */
    Optional<String> lastEventId() {
        return lastEventId;
    }
}
