package org.aspenmoor.internal.planning;

import java.util.List;

/**
 * What arrived at one entry during one interval.
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
