package org.aspenmoor.internal.serving.origin;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import org.aspenmoor.internal.dissemination.RendezvousHash;

/**
 * Chooses the entries that are told and asked about a stream, and the one that writes it to the store: the same ones in
 * every entry, as far as all know the same entries.
 */
final class OriginHolders {
    /** Number of entries told about a stream, so that it is known if some of them stop and a message gets lost. */
    static final int TOLD = 3;

    /** Number of entries asked about a stream; entries that have started or stopped meanwhile shift those told. */
    static final int ASKED = 8;

    /** Two, so that half of the records are still written until the others notice that one has stopped. */
    private static final int MIN_RECORDERS = 2;

    /** Each of them writes to the store several times a second, which limits the rate of writes of all entries. */
    static final int MAX_RECORDERS = 8;

    private static final int ENTRIES_PER_RECORDER = 8;

    private final OriginNetwork network;

    OriginHolders(OriginNetwork network) {
        this.network = network;
    }

    /** Returns the entries to tell about a stream. */
    List<String> toTell(StreamKey stream) {
        return first(TOLD, stream);
    }

    /** Returns the entries to ask about a stream. */
    List<String> toAsk(StreamKey stream) {
        return first(ASKED, stream);
    }

    /** Returns the entry that writes a stream to the store: one of a few, so that each writes many streams at once. */
    String recorderOf(StreamKey stream) {
        List<String> candidates = new ArrayList<>(network.activeEntries());
        candidates.add(network.ownEntry());
        int recorders = Math.clamp(candidates.size() / ENTRIES_PER_RECORDER, MIN_RECORDERS, MAX_RECORDERS);
        long recorder = Math.floorMod(stream.low(), (long) recorders);
        return RendezvousHash.rank("stream-recorder-" + recorder, candidates).getFirst();
    }

    /** Returns the entries ranked highest for a stream; entries that are not heard come after those that are. */
    private List<String> first(int count, StreamKey stream) {
        String subject = HexFormat.of().formatHex(stream.bytes());
        List<String> active = network.activeEntries();
        Set<String> silent = new HashSet<>(network.registeredEntries());
        active.forEach(silent::remove);
        List<String> ranked = new ArrayList<>(RendezvousHash.rank(subject, active));
        if (ranked.size() < count) {
            ranked.addAll(RendezvousHash.rank(subject, silent));
        }
        return ranked.subList(0, Math.min(count, ranked.size()));
    }
}
