package org.aspenmoor.internal.planning;

import java.util.List;

/**
 * The requests that arrived at one entry during one interval.
 *
 * <p>The interval is on the monotonic clock of the planner. For counts from another process, whose clock has another
 * origin, the receiver sets the end to the time of receipt and the start to the end of the previous report.
 *
 * @param source the name of the entry
 * @param sequence sequence number, which increases with each report of the entry
 * @param fromNanoseconds the start of the interval
 * @param toNanoseconds the end of the interval
 * @param kinds the counts by kind
 */
public record WorkCounts(
        String source, long sequence, long fromNanoseconds, long toNanoseconds, List<KindCount> kinds) {
    public WorkCounts {
        kinds = List.copyOf(kinds);
    }
}
