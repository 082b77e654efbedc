package org.aspenmoor.internal.planning;

import java.util.List;

/**
 * What arrived at one entry during one interval.
 *
 * <p>The interval is on the planner's monotonic clock. Where counts come from another process, whose clock has another
 * zero, the receiver sets the end to the moment of arrival and the start to the end of the report before.
 *
 * @param source the entry
 * @param sequence counts up with every report of the entry
 * @param fromNanoseconds the start of the interval
 * @param toNanoseconds its end
 * @param kinds the counts by kind
 */
public record WorkCounts(
        String source, long sequence, long fromNanoseconds, long toNanoseconds, List<KindCount> kinds) {
    public WorkCounts {
        kinds = List.copyOf(kinds);
    }
}
