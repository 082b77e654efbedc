package org.aspenmoor.internal.gateway.peers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.usage.EntryUsage;
import org.aspenmoor.internal.wire.v1.PeerLoad;

/** Converts the counts of one entry to datagrams and back. */
final class UsageCodec {
    /** Keeps a datagram below the size at which it is split into several packets, each of which may be lost. */
    private static final int MAX_COUNTS_PER_DATAGRAM = 60;

    private UsageCodec() {}

    /** Returns the datagrams for the counts, which all have the same entry and incarnation. */
    static List<byte[]> serialise(List<EntryUsage> usages) {
        List<byte[]> datagrams = new ArrayList<>();
        for (EntryUsage usage : usages) {
            List<Map.Entry<String, Long>> counts = List.copyOf(usage.counts().entrySet());
            int start = 0;
            do {
                int end = Math.min(counts.size(), start + MAX_COUNTS_PER_DATAGRAM);
                datagrams.add(serialise(usage, counts.subList(start, end)));
                start = end;
            } while (start < counts.size());
        }
        return datagrams;
    }

    private static byte[] serialise(EntryUsage usage, List<Map.Entry<String, Long>> counts) {
        PeerLoad.Usage.Window.Builder window =
                PeerLoad.Usage.Window.newBuilder().setNumber(usage.window()).setComplete(usage.complete());
        counts.forEach(count -> window.addOrganisations(count.getKey()).addCounts(count.getValue()));
        return PeerLoad.newBuilder()
                .setUsage(PeerLoad.Usage.newBuilder()
                        .setEntry(usage.entry())
                        .setStart(usage.incarnation())
                        .addWindows(window))
                .build()
                .toByteArray();
    }

    /** Parses the counts of a message; empty if it contains none. */
    static List<EntryUsage> parse(PeerLoad message) {
        List<EntryUsage> usages = new ArrayList<>();
        PeerLoad.Usage usage = message.getUsage();
        for (PeerLoad.Usage.Window window : usage.getWindowsList()) {
            Map<String, Long> counts = new HashMap<>();
            int complete = Math.min(window.getOrganisationsCount(), window.getCountsCount());
            for (int index = 0; index < complete; index++) {
                counts.put(window.getOrganisations(index), window.getCounts(index));
            }
            usages.add(new EntryUsage(
                    usage.getEntry(), usage.getStart(), window.getNumber(), window.getComplete(), counts));
        }
        return usages;
    }
}
