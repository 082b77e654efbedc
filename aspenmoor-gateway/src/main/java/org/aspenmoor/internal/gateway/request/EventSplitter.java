package org.aspenmoor.internal.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Cuts a stream into whole events.
 *
 * <p>An engine may stop in the middle of an event. Were the half of it passed on, another engine's continuation would be
 * joined to it and the caller would read one garbled event; so only whole events leave.
 */
final class EventSplitter {
    private static final String ID_FIELD = "id:";

    private final ByteBuf pending = Unpooled.buffer();
    private int searched;

    /** Adds bytes of the stream. */
    void add(ByteBuf part) {
        pending.writeBytes(part, part.readerIndex(), part.readableBytes());
    }

    /** Returns the next whole event with the empty line that ends it. */
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

    /** Returns whether there are bytes of an event that has not ended. */
    boolean holdsPart() {
        return pending.isReadable();
    }

    /** Returns the identity that an event carries. */
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
