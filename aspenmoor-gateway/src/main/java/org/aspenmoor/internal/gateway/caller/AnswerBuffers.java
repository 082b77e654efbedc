package org.aspenmoor.internal.gateway.caller;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import org.aspenmoor.internal.gateway.partial.PartialMessages;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Bounds the bytes that this entry buffers for all callers and servers together: bodies of requests, answers that are
 * collected before they are sent, and parts of answers that callers have not read. Confined to the event loop.
 *
 * <p>Reading from a server pauses while its caller does not read, but each caller may still hold some tens of kilobytes
 * of a stream, or a whole plain answer. When the bound is exceeded, callers that do not read are dropped. While it is
 * exceeded nevertheless, the largest answers that are being collected are discarded, as a faulty server may send one
 * without end; then no more is accepted to be collected.
 */
public final class AnswerBuffers {
    /** Incomplete messages may take this fraction of the bound, in addition to it. */
    private static final int PARTIAL_MESSAGES_DIVISOR = 8;

    private final long maxBytes;
    private final TimeSource time;
    private final Executor eventLoop;
    private final PartialMessages partialMessages;
    private final DropListener dropListener;
    private final Map<BufferedCaller, ReadProgress> callers = new LinkedHashMap<>();
    private final Set<CollectedAnswer> collectedAnswers = new LinkedHashSet<>();
    private long bodyBytes;
    private long collectedBytes;
    private long unreadBytes;
    private boolean checkScheduled;

    /**
     * Creates an instance without bytes.
     *
     * @param maxBytes the bound
     * @param eventLoop runs checks after the task that made them necessary
     */
    public AnswerBuffers(long maxBytes, TimeSource time, Executor eventLoop, DropListener dropListener) {
        this.maxBytes = maxBytes;
        this.time = time;
        this.eventLoop = eventLoop;
        this.partialMessages = new PartialMessages(maxBytes / PARTIAL_MESSAGES_DIVISOR);
        this.dropListener = dropListener;
    }

    /** Returns the bound of what is incomplete and therefore not accounted for here, such as the heads of messages. */
    public PartialMessages partialMessages() {
        return partialMessages;
    }

    /** Accounts for a part of a request body, or its release if negative; returns false if there is no room for it. */
    public boolean addBody(long bytes) {
        if (bytes > 0 && exceededWith(bytes)) {
            return false;
        }
        bodyBytes += bytes;
        return true;
    }

    /**
     * Accounts for a part of an answer that is collected before it is sent, and discards larger answers to make room;
     * returns false if there is none.
     */
    public boolean collect(CollectedAnswer answer, long bytes) {
        while (bytes > 0 && exceededWith(bytes)) {
            Optional<CollectedAnswer> larger = largestAbove(answer.collectedBytes() + bytes);
            if (larger.isEmpty()) {
                return false;
            }
            collectedAnswers.remove(larger.get());
            larger.get().discard("the answers that are collected take too much memory, and this one is the largest");
        }
        collectedAnswers.add(answer);
        collectedBytes += bytes;
        return true;
    }

    /** Accounts for the release of collected bytes of an answer, which is not discarded any more. */
    public void release(CollectedAnswer answer, long bytes) {
        collectedAnswers.remove(answer);
        collectedBytes -= bytes;
    }

    /** Returns the bytes that are buffered, of which those that callers have not read were counted at the last check. */
    public long bytes() {
        return bodyBytes + collectedBytes + unreadBytes;
    }

    /** Drops callers that do not read if the bound is exceeded; to be called several times a second. */
    public void check() {
        checkScheduled = false;
        makeRoomFor(0);
    }

    private void makeRoomFor(long wantedBytes) {
        long now = time.monotonicNanos();
        unreadBytes = 0;
        List<SlowReaders.Reader<BufferedCaller>> readers = new ArrayList<>();
        callers.forEach((caller, progress) -> {
            long bytes = caller.bufferedBytes();
            unreadBytes += bytes;
            progress.update(caller, bytes, now);
            readers.add(new SlowReaders.Reader<>(caller, bytes, Duration.ofNanos(now - progress.lastReadAt)));
        });
        for (SlowReaders.Reader<BufferedCaller> reader :
                SlowReaders.toDrop(readers, bytes() + wantedBytes - maxBytes)) {
            unreadBytes -= reader.bytes();
            callers.remove(reader.caller());
            reader.caller().drop();
            dropListener.dropped(reader.bytes(), reader.unread());
        }
    }

    void connected(BufferedCaller caller) {
        callers.put(caller, new ReadProgress(time.monotonicNanos()));
    }

    void disconnected(BufferedCaller caller) {
        callers.remove(caller);
    }

    /** Records that bytes were written to a caller, which may or may not have read them. */
    void written(long bytes) {
        unreadBytes += bytes;
        if (bytes() > maxBytes && !checkScheduled) {
            checkScheduled = true;
            eventLoop.execute(this::check);
        }
    }

    /** Returns whether more bytes would exceed the bound although all callers that do not read have been dropped. */
    private boolean exceededWith(long bytes) {
        if (bytes() + bytes > maxBytes) {
            makeRoomFor(bytes);
        }
        return bytes() + bytes > maxBytes;
    }

    private Optional<CollectedAnswer> largestAbove(long bytes) {
        return collectedAnswers.stream()
                .max(Comparator.comparingLong(CollectedAnswer::collectedBytes))
                .filter(largest -> largest.collectedBytes() > bytes);
    }

    private static final class ReadProgress {
        private long sentBytes;
        private long lastReadAt;

        ReadProgress(long now) {
            lastReadAt = now;
        }

        /** A caller for which nothing waits cannot be expected to read. */
        void update(BufferedCaller caller, long bufferedBytes, long now) {
            if (bufferedBytes == 0 || caller.sentBytes() != sentBytes) {
                sentBytes = caller.sentBytes();
                lastReadAt = now;
            }
        }
    }
}
