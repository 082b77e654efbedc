package org.aspenmoor.internal.serving.limit;

import java.util.Comparator;

/**
 * What an entry claims of a server's limit. Claims with more demand come first.
 *
 * @param demand the requests per second that the entry has for the server's service; positive
 * @param demandClass the order of magnitude of the demand; see {@link DemandClass}
 * @param tieBreak a number that the entry has drawn for the server; it orders entries with similar demand, differently
 *     for each server
 */
public record ShareClaim(double demand, int demandClass, long tieBreak) implements Comparable<ShareClaim> {
    private static final Comparator<ShareClaim> MOST_DEMAND_FIRST =
            Comparator.comparingInt(ShareClaim::demandClass).reversed().thenComparingLong(ShareClaim::tieBreak);

    private static final double MIN_DEMAND = 0.05;

    public ShareClaim {
        demand = Double.isFinite(demand) ? Math.max(MIN_DEMAND, demand) : MIN_DEMAND;
    }

    @Override
    public int compareTo(ShareClaim other) {
        return MOST_DEMAND_FIRST.compare(this, other);
    }
}
