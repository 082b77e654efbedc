package org.aspenmoor.internal.serving.origin;

import java.time.Duration;
import java.util.List;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Has the newest streams of which this entry is told written to the store, so that their origins outlive all entries.
 * Several streams are written at once, since the store limits the rate of calls and charges for each.
 */
final class StreamRecorder {
    /** Shortest time between two writes; of the streams that began since the last one, nobody knows if all are killed. */
    static final Duration INTERVAL = Duration.ofMillis(200);

    /** Maximum number of streams in a record, about 100 kilobytes. */
    private static final int MAX_STREAMS = 4_000;

    private final OriginNetwork network;
    private final TimeSource time;
    private final StreamOrigins streams = new StreamOrigins(MAX_STREAMS);
    private boolean loaded;
    private boolean changed;
    private boolean waitingForInterval;

    StreamRecorder(OriginNetwork network, TimeSource time) {
        this.network = network;
        this.time = time;
    }

    /**
     * Adds streams to the record.
     *
     * @param window for how long callers may take them up
     */
    void add(List<KnownStream> known, Duration window) {
        long until = time.monotonicNanos() + window.toNanos();
        known.forEach(stream -> streams.record(stream, until));
        changed = true;
        writeUnlessTooSoon();
    }

    /** Continues the record of the process before this one, which must not be overwritten until it is known. */
    void loaded(List<KnownStream> recorded, Duration window) {
        loaded = true;
        long until = time.monotonicNanos() + window.toNanos();
        recorded.forEach(stream -> streams.record(stream, until));
        writeUnlessTooSoon();
    }

    /** Returns whether the records in the store have been read. */
    boolean isLoaded() {
        return loaded;
    }

    /** Removes the streams that no caller takes up any more; the record is not written again before it is empty. */
    void expire() {
        int before = streams.size();
        streams.expire(time.monotonicNanos());
        if (before > 0 && streams.size() == 0) {
            changed = true;
            writeUnlessTooSoon();
        }
    }

    private void writeUnlessTooSoon() {
        if (!loaded || !changed || waitingForInterval) {
            return;
        }
        changed = false;
        waitingForInterval = true;
        network.record(streams.known(time.monotonicNanos()));
        network.schedule(INTERVAL, this::intervalPassed);
    }

    private void intervalPassed() {
        waitingForInterval = false;
        writeUnlessTooSoon();
    }
}
