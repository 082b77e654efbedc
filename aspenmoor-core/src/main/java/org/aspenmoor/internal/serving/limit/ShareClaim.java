package org.aspenmoor.internal.serving.limit;

/**
 * What an entry claims of a server's limit.
 *
 * @param demand the requests per second that the entry has for the server's service; positive
 * @param demandClass the order of magnitude of the demand; see {@link DemandClass}
 * @param sentAt when the claim was sent, in nanoseconds of the sender's monotonic clock; meaningful to the sender only
 */
public record ShareClaim(double demand, int demandClass, long sentAt) {
    private static final double MIN_DEMAND = 0.05;

    public ShareClaim {
        demand = Double.isFinite(demand) ? Math.max(MIN_DEMAND, demand) : MIN_DEMAND;
    }
}
