package org.aspenmoor.internal.serving.origin;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Streams whose origin is remembered, for as long as their callers may take them up again. */
final class StreamOrigins {
    private final int maxStreams;
    private final Map<StreamKey, Remembered> streams = new LinkedHashMap<>();

    /**
     * Creates an empty instance.
     *
     * @param maxStreams maximum number of streams; the ones recorded longest ago yield first
     */
    StreamOrigins(int maxStreams) {
        this.maxStreams = maxStreams;
    }

    /** Records the origin of a stream until the given time. */
    void record(KnownStream known, long until) {
        Remembered before = streams.remove(known.stream());
        boolean contradicts = before != null && !before.knowledge().equals(new OriginKnowledge.Known(known.origin()));
        OriginKnowledge knowledge =
                contradicts ? new OriginKnowledge.Contradictory() : new OriginKnowledge.Known(known.origin());
        streams.put(known.stream(), new Remembered(knowledge, until));
        if (streams.size() > maxStreams) {
            streams.remove(streams.keySet().iterator().next());
        }
    }

    OriginKnowledge find(StreamKey stream, long now) {
        Remembered remembered = streams.get(stream);
        return remembered == null || remembered.until() < now ? new OriginKnowledge.Unknown() : remembered.knowledge();
    }

    /** Returns the streams whose origin is known. */
    List<KnownStream> known(long now) {
        List<KnownStream> known = new ArrayList<>();
        streams.forEach((stream, remembered) -> {
            if (remembered.until() >= now && remembered.knowledge() instanceof OriginKnowledge.Known origin) {
                known.add(new KnownStream(stream, origin.origin()));
            }
        });
        return known;
    }

    /** Forgets the streams that no caller takes up any more; all are remembered for about as long, so in order. */
    void expire(long now) {
        Iterator<Remembered> oldestFirst = streams.values().iterator();
        while (oldestFirst.hasNext() && oldestFirst.next().until() < now) {
            oldestFirst.remove();
        }
    }

    int size() {
        return streams.size();
    }

    private record Remembered(OriginKnowledge knowledge, long until) {}
}
