package org.aspenmoor.internal.serving.origin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** Tells other entries which version began a stream, and has one of them write it to the store. */
final class StreamAnnouncer {
    /** Maximum number of streams in one message, which is about a kilobyte. */
    private static final int MAX_STREAMS_PER_MESSAGE = 24;

    private final OriginNetwork network;
    private final OriginHolders holders;
    private final StreamRecorder recorder;

    /**
     * Creates an instance.
     *
     * @param recorder writes the streams that fall to this entry
     */
    StreamAnnouncer(OriginNetwork network, OriginHolders holders, StreamRecorder recorder) {
        this.network = network;
        this.holders = holders;
        this.recorder = recorder;
    }

    /** Tells of streams the entries that are asked when callers take them up. */
    void tell(List<KnownStream> known) {
        groupByEntry(known, holders::toTell).forEach((entry, streams) -> send(entry, streams, false));
    }

    /**
     * Tells of streams and has them written to the store.
     *
     * @param window for how long callers may take them up
     */
    void tellAndRecord(List<KnownStream> known, Duration window) {
        tell(known);
        groupByEntry(known, stream -> List.of(holders.recorderOf(stream)))
                .forEach((entry, streams) -> record(entry, streams, window));
    }

    private void record(String entry, List<KnownStream> streams, Duration window) {
        if (entry.equals(network.ownEntry())) {
            recorder.add(streams, window);
        } else {
            send(entry, streams, true);
        }
    }

    private static Map<String, List<KnownStream>> groupByEntry(
            List<KnownStream> known, Function<StreamKey, List<String>> entries) {
        Map<String, List<KnownStream>> byEntry = new LinkedHashMap<>();
        for (KnownStream stream : known) {
            for (String entry : entries.apply(stream.stream())) {
                byEntry.computeIfAbsent(entry, unseen -> new ArrayList<>()).add(stream);
            }
        }
        return byEntry;
    }

    private void send(String entry, List<KnownStream> streams, boolean record) {
        for (int start = 0; start < streams.size(); start += MAX_STREAMS_PER_MESSAGE) {
            int end = Math.min(streams.size(), start + MAX_STREAMS_PER_MESSAGE);
            network.tell(entry, streams.subList(start, end), record);
        }
    }
}
