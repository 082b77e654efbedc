package org.aspenmoor.internal.serving.quarantine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the server terminations that are included in the next reports to the other entries. Confined to one thread.
 *
 * <p>Reports are datagrams and can be lost, so each termination is included in several of them. Requests with
 * terminations on more than one server are included again and again without end, a few in each report, for entries that
 * have received no reports for a while.
 */
final class TerminationReportQueue {
    /** Number of reports that include the terminations of a newly added request. */
    private static final int REPORTS_PER_TERMINATION = 5;

    /** Maximum number of newly added requests in one report; with three terminations each, a few kilobytes. */
    private static final int MAX_NEW_REQUESTS = 32;

    /** Maximum number of requests with several terminations that one report repeats. */
    private static final int MAX_REPEATED_REQUESTS = 4;

    private final Map<SuspectDigest, Integer> remainingReports = new LinkedHashMap<>();
    private int nextRepeatedIndex;

    /** Schedules the terminations of a request for the next reports. */
    void add(SuspectDigest request) {
        remainingReports.remove(request);
        remainingReports.put(request, REPORTS_PER_TERMINATION);
    }

    /** Returns the terminations to include in the next report. */
    List<ServerTermination> takeNextReport(Quarantine quarantine, long nowNanos) {
        List<ServerTermination> terminations = new ArrayList<>();
        Iterator<Map.Entry<SuspectDigest, Integer>> iterator =
                remainingReports.entrySet().iterator();
        for (int count = 0; count < MAX_NEW_REQUESTS && iterator.hasNext(); count++) {
            Map.Entry<SuspectDigest, Integer> next = iterator.next();
            terminations.addAll(quarantine.terminations(next.getKey(), nowNanos));
            if (next.getValue() == 1) {
                iterator.remove();
            } else {
                next.setValue(next.getValue() - 1);
            }
        }
        List<SuspectDigest> repeated = quarantine.suspectsWithMultipleTerminations();
        for (int count = 0; count < Math.min(MAX_REPEATED_REQUESTS, repeated.size()); count++) {
            terminations.addAll(quarantine.terminations(
                    repeated.get(Math.floorMod(nextRepeatedIndex++, repeated.size())), nowNanos));
        }
        return terminations;
    }
}
