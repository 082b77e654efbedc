package org.aspenmoor.internal.gateway.caller;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Decides which callers are dropped when an entry buffers too many bytes: those that hold most and have read nothing for
 * longest. Handles some thousand callers that all stop reading at the same moment.
 */
final class SlowReaders {
    /** A caller that has read anything within this time is reading, however slowly. */
    static final Duration MIN_UNREAD = Duration.ofSeconds(1);

    private SlowReaders() {}

    /**
     * Returns the callers to be dropped.
     *
     * @param excessBytes how many bytes have to be discarded
     */
    static <T> List<Reader<T>> toDrop(List<Reader<T>> readers, long excessBytes) {
        List<Reader<T>> candidates = new ArrayList<>(readers);
        candidates.removeIf(reader -> reader.bytes() == 0 || reader.unread().compareTo(MIN_UNREAD) < 0);
        candidates.sort(Comparator.comparingDouble(SlowReaders::byteSeconds).reversed());
        List<Reader<T>> dropped = new ArrayList<>();
        long remainingBytes = excessBytes;
        for (Reader<T> reader : candidates) {
            if (remainingBytes <= 0) {
                break;
            }
            dropped.add(reader);
            remainingBytes -= reader.bytes();
        }
        return dropped;
    }

    private static double byteSeconds(Reader<?> reader) {
        return (double) reader.bytes() * reader.unread().toMillis();
    }

    /**
     * A caller that bytes are buffered for.
     *
     * @param caller the caller
     * @param bytes the bytes that wait for it
     * @param unread how long it has read nothing
     */
    record Reader<T>(T caller, long bytes, Duration unread) {}
}
