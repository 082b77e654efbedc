package org.aspenmoor.internal.usage;

import java.util.Map;

/**
 * What an entry knows about usage at one moment.
 *
 * @param nowMillis the true time in milliseconds since 1970
 * @param eligible whether this entry may perform the duty: it is ready, does not stop, and reaches the store
 * @param rank the number of eligible entries whose names sort before this one's
 * @param otherEligible the number of other eligible entries
 * @param settledByPeers the highest window that a peer states to be settled; all up to it need no further action
 * @param lastDue the last window that can be decided now
 * @param totals the counts of the windows that can be decided and are not settled, by window; windows that nobody has
 *     counted are absent
 */
public record UsageSnapshot(
        long nowMillis,
        boolean eligible,
        int rank,
        int otherEligible,
        long settledByPeers,
        long lastDue,
        Map<Long, UsageReport> totals) {
    public UsageSnapshot {
        totals = Map.copyOf(totals);
    }
}
