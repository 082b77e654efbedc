package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * What the other entries have placed on the backend servers, as they last said. Confined to one thread.
 *
 * <p>An entry that sees only its own requests takes a server for idle that others have filled; on calm days half of the
 * long prompts then waited for seconds while other engines had room. Reports may be lost or late: each names the whole
 * part of its sender, so the next one mends it, and a sender that is silent counts for nothing after a while.
 */
public final class PeerLoads {
    /** Reports come several times a second; after this time of silence their sender has stopped or is cut off. */
    static final Duration REPORT_TIMEOUT = Duration.ofMillis(1500);

    private final Map<String, ReceivedReport> reports = new HashMap<>();

    /** Takes a report in; one that was overtaken by a newer one is dropped. */
    public void receive(PeerReport report, long now) {
        ReceivedReport previous = reports.get(report.entry());
        boolean outdated = previous != null
                && previous.report().incarnation() == report.incarnation()
                && previous.report().sequence() >= report.sequence();
        if (outdated) {
            return;
        }
        if (report.leaving()) {
            reports.remove(report.entry());
            return;
        }
        reports.put(report.entry(), new ReceivedReport(report, now));
    }

    /** Forgets the entries that have been silent for too long. */
    public void expire(long now) {
        Iterator<ReceivedReport> received = reports.values().iterator();
        while (received.hasNext()) {
            if (now - received.next().receivedAt() > REPORT_TIMEOUT.toNanos()) {
                received.remove();
            }
        }
    }

    /** Returns what all others together have placed on a server. */
    public EntryLoad onServer(String server) {
        EntryLoad total = EntryLoad.NONE;
        for (ReceivedReport received : reports.values()) {
            total = total.plus(received.report().loads().getOrDefault(server, EntryLoad.NONE));
        }
        return total;
    }

    /** Returns whether no other entry has anything on a server. */
    public boolean idle() {
        return reports.values().stream()
                .allMatch(received -> received.report().loads().isEmpty());
    }

    /** Returns whether no entry that is heard has a name before the given one. */
    public boolean isFirstByName(String entry) {
        return reports.keySet().stream().allMatch(other -> other.compareTo(entry) > 0);
    }

    /** Returns how many other entries are heard. */
    public int activePeers() {
        return reports.size();
    }

    private record ReceivedReport(PeerReport report, long receivedAt) {}
}
