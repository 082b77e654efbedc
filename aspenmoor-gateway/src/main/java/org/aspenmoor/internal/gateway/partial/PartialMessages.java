package org.aspenmoor.internal.gateway.partial;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bounds the memory of incomplete messages on all connections together. Confined to the event loop.
 *
 * <p>Each message has a limit of its own, but some hundred faulty servers or callers could fill the memory without
 * reaching it. When the bound is exceeded, the largest messages are discarded; those of others are much smaller.
 */
public final class PartialMessages {
    private final long maxBytes;
    private final Map<PartialMessage, Long> bytesByMessage = new LinkedHashMap<>();
    private long bytes;

    /** Creates an instance without messages. */
    public PartialMessages(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Accounts for memory that a message takes, and discards the largest messages while the bound is exceeded. */
    void add(PartialMessage message, long addedBytes) {
        bytes += addedBytes;
        bytesByMessage.merge(message, addedBytes, Long::sum);
        while (bytes > maxBytes) {
            PartialMessage largest = largest();
            release(largest);
            largest.discard();
        }
    }

    /** Accounts for a message that is complete or has been discarded. */
    void release(PartialMessage message) {
        Long released = bytesByMessage.remove(message);
        bytes -= released == null ? 0 : released;
    }

    /** Returns the memory that all messages take, in bytes. */
    public long bytes() {
        return bytes;
    }

    private PartialMessage largest() {
        return bytesByMessage.entrySet().stream()
                .max(Comparator.comparingLong(Map.Entry::getValue))
                .orElseThrow()
                .getKey();
    }
}
