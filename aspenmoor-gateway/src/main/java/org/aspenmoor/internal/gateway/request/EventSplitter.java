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
    private int searchedTo;

    /** Adds bytes of the stream. */
    void add(ByteBuf bytes) {
        searchedTo = Math.max(0, searchedTo - pending.readerIndex());
        pending.discardReadBytes();
        pending.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
    }

    /** Returns the next complete event including the empty line that ends it. */
    Optional<ByteBuf> next() {
        int end = endOfEvent();
        if (end < 0) {
            return Optional.empty();
        }
        ByteBuf event = pending.readBytes(end - pending.readerIndex());
        searchedTo = pending.readerIndex();
        if (!pending.isReadable()) {
            pending.clear();
            searchedTo = 0;
        }
        return Optional.of(event);
    }

    /** Returns whether bytes of an incomplete event are buffered. */
    boolean hasPartialEvent() {
        return pending.isReadable();
    }

    /** Returns the number of bytes of the incomplete event that are buffered. */
    int partialEventBytes() {
        return pending.readableBytes();
    }

    /** Returns the value of the event's {@code id} field. */
    static Optional<String> eventId(ByteBuf event) {
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
        int start = Math.max(pending.readerIndex(), searchedTo);
        for (int index = start; index < pending.writerIndex(); index++) {
            if (pending.getByte(index) != '\n') {
                continue;
            }
            int previous = index - 1;
            if (previous >= pending.readerIndex() && pending.getByte(previous) == '\r') {
                previous--;
            }
            if (previous >= pending.readerIndex() && pending.getByte(previous) == '\n') {
                return index + 1;
            }
        }
        searchedTo = pending.writerIndex();
        return -1;
    }
}
