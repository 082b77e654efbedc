package org.aspenmoor.internal.planning;

import java.util.List;

/**
 * What the planner expects.
 *
 * @param present the present mix
 * @param remainingSeconds how long it will probably last on
 * @param afterSeconds how far ahead beyond that to look: no further than was seen back
 * @param leastGainShare the share of the present goodput that a change must gain at least
 * @param past the mixes that may come back after it
 */
record Outlook(
        Segment present, double remainingSeconds, double afterSeconds, double leastGainShare, List<Segment> past) {
    Outlook {
        past = List.copyOf(past);
    }
}
