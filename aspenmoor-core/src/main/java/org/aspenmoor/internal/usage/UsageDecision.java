package org.aspenmoor.internal.usage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What becomes of each window that is due, given the stored record. It holds only once its record has been stored:
 * while the outcome of that write is unknown, another entry may decide otherwise.
 *
 * @param next the record to be stored
 * @param decided the reports that the record decides
 * @param missed the windows that will never be reported, with the reason
 */
record UsageDecision(UsageRecord next, List<UsageReport> decided, Map<Long, String> missed) {
    UsageDecision {
        decided = List.copyOf(decided);
        missed = Map.copyOf(missed);
    }

    /**
     * Decides the windows that are due.
     *
     * @param stored the stored record; empty if there is none
     * @param own what this entry remembers, the windows it has decided and those of them that it has not sent
     * @param generation the generation of the store's history in which the record will be stored
     * @param currentWindow the window that has not ended yet
     * @param lastDue the last window to be decided
     * @param totals the counts of the windows that can be decided, by window
     */
    static UsageDecision of(
            Optional<UsageRecord> stored,
            UsageRecord own,
            long generation,
            long currentWindow,
            long lastDue,
            Map<Long, UsageReport> totals) {
        boolean decisionsMayBeLost =
                stored.map(record -> record.generation() != generation).orElse(generation > 0);
        SortedMap<Long, UsageReport> unsent = new TreeMap<>();
        if (decisionsMayBeLost) {
            own.unsent().forEach(report -> unsent.put(report.window(), report));
        }
        stored.ifPresent(record -> record.unsent().forEach(report -> unsent.put(report.window(), report)));
        long storedLast = stored.map(UsageRecord::lastDecided).orElse(own.lastDecided());
        long last = decisionsMayBeLost ? Math.max(storedLast, own.lastDecided()) : storedLast;
        SortedMap<Long, String> missed = new TreeMap<>();
        if (decisionsMayBeLost) {
            last = giveUp(last, currentWindow - 1, "the store was restored from an older copy", missed);
        }
        last = giveUp(last, lastDue - UsageLedger.MAX_WINDOWS, "its counts are no longer kept", missed);
        List<UsageReport> decided = new ArrayList<>();
        for (long window = last + 1; window <= lastDue; window++) {
            UsageReport report = totals.get(window);
            if (report == null) {
                missed.put(window, "no entry that counted it is left");
            } else {
                unsent.put(window, report);
                decided.add(report);
            }
        }
        long lastDecided = Math.max(last, lastDue);
        UsageRecord next = new UsageRecord(generation, lastDecided, List.copyOf(unsent.values()));
        return new UsageDecision(next, decided, missed);
    }

    /** Gives up the windows after {@code last} through {@code through}; returns the last one that is settled then. */
    private static long giveUp(long last, long through, String reason, Map<Long, String> missed) {
        for (long window = Math.max(last + 1, through - UsageLedger.MAX_WINDOWS); window <= through; window++) {
            missed.put(window, reason);
        }
        return Math.max(last, through);
    }
}
