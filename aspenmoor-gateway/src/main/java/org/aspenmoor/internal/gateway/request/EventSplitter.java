package org.aspenmoor.internal.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a byte stream into complete server-sent events.
 *
 * <p>An engine may stop in the middle of an event. If the partial event were forwarded, the continuation from another
 * engine would be appended to it and the caller would read one corrupt event. Therefore only complete events are
 * returned.
 */
final class EventSplitter {
    private static final String ID_FIELD = "id:";

    private final ByteBuf pending = Unpooled.buffer();
    private int searched;

    /** Adds bytes of the stream. */
    void add(ByteBuf part) {
        pending.writeBytes(part, part.readerIndex(), part.readableBytes());
    }

    /** Returns the next complete event including the empty line that ends it. */
    Optional<ByteBuf> next() {
        int end = endOfEvent();
        if (end < 0) {
            return Optional.empty();
        }
        ByteBuf event = pending.readBytes(end - pending.readerIndex());
        searched = pending.readerIndex();
        if (!pending.isReadable()) {
            pending.clear();
            searched = 0;
        }
        return Optional.of(event);
    }

    /** Returns whether bytes of an incomplete event are buffered. */
    boolean holdsPart() {
        return pending.isReadable();
    }

    /** Returns the value of the event's {@code id} field. */
    static Optional<String> identity(ByteBuf event) {
        String text = event.toString(StandardCharsets.UTF_8);
        for (String line : text.split("\n", -1)) {
            if (line.startsWith(ID_FIELD)) {
                return Optional.of(line.substring(ID_FIELD.length()).strip());
            }
        }
        return Optional.empty();
    }

    void release() {
        pending.release();
    }

    private int endOfEvent() {
        int from = Math.max(pending.readerIndex(), searched);
        for (int index = from; index < pending.writerIndex(); index++) {
            if (pending.getByte(index) != '\n') {
                continue;
            }
            int before = index - 1;
            if (before >= pending.readerIndex() && pending.getByte(before) == '\r') {
                before--;
            }
            if (before >= pending.readerIndex() && pending.getByte(before) == '\n') {
                return index + 1;
            }
        }
        searched = pending.writerIndex();
        return -1;
    }
}
