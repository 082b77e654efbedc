package org.aspenmoor.internal.planning;

import java.util.List;

/**
 * A stretch of time over which the mix did not change.
 *
 * @param firstBucket the first second of it
 * @param seconds how long it is
 * @param demands its mean demand, by falling weight
 */
record Segment(long firstBucket, double seconds, List<KindDemand> demands) {
    Segment {
        demands = List.copyOf(demands);
    }
}
