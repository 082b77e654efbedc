package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.aspenmoor.internal.duty.DutyStatus;
import org.aspenmoor.internal.duty.OrderStanding;

/**
 * The load that the other entries have put on the backend servers, according to their latest reports. Confined to one
 * thread; {@code now} is the monotonic clock in nanoseconds.
 *
 * <p>An entry that knows only its own requests treats servers as idle that other entries have filled; even on days of
 * low load, half of the long prompts then waited for seconds although other engines had room. Reports may be lost or
 * late. Each report contains the complete load of its sender, so the next report corrects a lost one, and a sender that
 * stops reporting is ignored after a timeout.
 */
public final class PeerLoads {
    /**
     * Reports arrive several times a second; an entry without a report for this long has stopped or is disconnected.
     */
    static final Duration REPORT_TIMEOUT = Duration.ofMillis(1500);

    private final Map<String, ReceivedReport> reports = new HashMap<>();

    /** Sums by server since the last change; a placement asks for each server several times. */
    private final Map<String, EntryLoad> totals = new HashMap<>();

    /** Applies a report unless a newer one of the same sender has already been received. */
    public void receive(PeerReport report, long now) {
        ReceivedReport previous = reports.get(report.entry());
        boolean outdated = previous != null
                && previous.report().incarnation() == report.incarnation()
                && previous.report().sequence() >= report.sequence();
        if (outdated) {
            return;
        }
        totals.clear();
        if (report.stopping()) {
            reports.remove(report.entry());
            return;
        }
        reports.put(report.entry(), new ReceivedReport(report, now, new HashMap<>()));
    }

    /** Applies changes that another entry announces, unless a newer report of it contains them already. */
    public void receive(LoadChanges changes) {
        ReceivedReport received = reports.get(changes.entry());
        if (received == null
                || received.report().incarnation() != changes.incarnation()
                || received.report().sequence() > changes.sequence()) {
            return;
        }
        totals.clear();
        for (LoadChange change : changes.changes()) {
            received.changes().merge(change.server(), change, LoadChange::plus);
        }
    }

    /** Removes the entries whose last report is older than {@link #REPORT_TIMEOUT}. */
    public void expire(long now) {
        Iterator<ReceivedReport> received = reports.values().iterator();
        while (received.hasNext()) {
            if (now - received.next().receivedAt() > REPORT_TIMEOUT.toNanos()) {
                received.remove();
                totals.clear();
            }
        }
    }

    /** Returns the sum of the load of all other entries on a server. */
    public EntryLoad onServer(String server) {
        return totals.computeIfAbsent(server, this::totalOn);
    }

    private EntryLoad totalOn(String server) {
        EntryLoad total = EntryLoad.NONE;
        for (ReceivedReport received : reports.values()) {
            total = total.plus(received.loadOn(server));
        }
        return total;
    }

    /** Returns whether no other entry has any load on any server. */
    public boolean idle() {
        return reports.values().stream()
                .allMatch(received -> received.report().loads().isEmpty());
    }

    /** Returns how many of the other active entries give orders to engines rather than the given one. */
    public int entriesPreceding(OrderStanding own) {
        return (int) reports.values().stream()
                .filter(received -> received.report().orderStanding().precedes(own))
                .count();
    }

    /** Returns what the other active entries state about duties, by entry name. */
    public SortedMap<String, DutyStatus> dutyStatuses() {
        SortedMap<String, DutyStatus> statuses = new TreeMap<>();
        reports.forEach(
                (entry, received) -> received.report().duties().ifPresent(status -> statuses.put(entry, status)));
        return statuses;
    }

    /** Returns the names of the other entries that are currently reporting. */
    public List<String> activeEntries() {
        return List.copyOf(reports.keySet());
    }

    /** Returns how many other entries are currently reporting. */
    public int activePeers() {
        return reports.size();
    }

    /**
     * The latest report of an entry.
     *
     * @param changes the changes since then that the entry has announced, by server
     */
    private record ReceivedReport(PeerReport report, long receivedAt, Map<String, LoadChange> changes) {
        EntryLoad loadOn(String server) {
            EntryLoad reported = report.loads().getOrDefault(server, EntryLoad.NONE);
            LoadChange change = changes.get(server);
            return change == null ? reported : reported.changedBy(change);
        }
    }
}
