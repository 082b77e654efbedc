package org.aspenmoor.internal.serving.quarantine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the server terminations that are included in the next reports to the other entries. Confined to one
 * thread.
 *
 * <p>Reports are datagrams and can be lost, so each termination is included in several of them. Requests with
 * terminations on more than one server are repeated indefinitely, a few with each report, for entries that have
 * received no reports for a while.
 */
final class EndNews {
    /** Number of reports that include the terminations of a newly added request. */
    private static final int TIMES = 5;

    /** Maximum number of newly added requests in one report; with three terminations each, a few kilobytes. */
    private static final int MOST_TOLD = 32;

    /** Maximum number of requests with several terminations that one report repeats. */
    private static final int MOST_REPEATED = 4;

    private final Map<RequestDigest, Integer> timesLeft = new LinkedHashMap<>();
    private int repeatedFrom;

    /** Schedules the terminations of a request for the next reports. */
    void add(RequestDigest request) {
        timesLeft.remove(request);
        timesLeft.put(request, TIMES);
    }

    /** Returns the terminations to include in the next report. */
    List<ServerEnd> take(Quarantine quarantine, long now) {
        List<ServerEnd> told = new ArrayList<>();
        Iterator<Map.Entry<RequestDigest, Integer>> news = timesLeft.entrySet().iterator();
        for (int count = 0; count < MOST_TOLD && news.hasNext(); count++) {
            Map.Entry<RequestDigest, Integer> next = news.next();
            told.addAll(quarantine.ends(next.getKey(), now));
            if (next.getValue() == 1) {
                news.remove();
            } else {
                next.setValue(next.getValue() - 1);
            }
        }
        List<RequestDigest> repeated = quarantine.repeated();
        for (int count = 0; count < Math.min(MOST_REPEATED, repeated.size()); count++) {
            told.addAll(quarantine.ends(repeated.get(Math.floorMod(repeatedFrom++, repeated.size())), now));
        }
        return told;
    }
}
