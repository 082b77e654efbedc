package org.aspenmoor.internal.serving.limit;

import java.util.Collection;
import java.util.List;
import java.util.stream.Stream;

/**
 * Divides the limit of a server among the entries without a coordinator. All entries calculate the same shares from
 * the claims that they report to each other.
 *
 * <p>Shares are proportional to demand. Each entry that has a share may have one unused request in reserve; if many
 * entries used theirs at once, the server would get a burst on top of the limit. So only as many entries have a share as
 * the server tolerates: those with the highest demand, the others place their requests elsewhere.
 */
final class LimitShare {
    /** Part of the limit that is used; answers that get lost are repeated, and shares overlap while claims change. */
    private static final double USED_FRACTION = 0.9;

    /**
     * Minimum rate of requests to a limited server, per second and for all entries together. Without any request, no
     * entry would learn that the limit has ended.
     */
    private static final double MIN_REQUESTS_PER_SECOND = 0.25;

    /** Period in which a server tolerates a burst beyond its limit, in seconds. */
    private static final double BURST_SECONDS = 4;

    /** Requests that a server tolerates within that period, as a multiple of the limit. */
    private static final double BURST_FACTOR = 1.5;

    /** Requests that a server tolerates within that period in addition. */
    private static final double BURST_REQUESTS = 5;

    /** Part of the tolerated requests that shares are planned for; the rest covers claims that get lost or are late. */
    private static final double PLANNED_FRACTION = 0.85;

    private LimitShare() {}

    /**
     * Returns the requests per second that an entry may send to a server; zero if it has no share.
     *
     * @param limit the server's limit, in requests per second
     * @param own the entry's claim
     * @param reported the claims that the other entries have reported
     * @param entries the number of entries
     */
    static double requestsPerSecond(double limit, ShareClaim own, Collection<ShareClaim> reported, int entries) {
        double total = Math.max(USED_FRACTION * limit, MIN_REQUESTS_PER_SECOND);
        int unreported = Math.max(0, entries - 1 - reported.size());
        List<ShareClaim> owners = Stream.concat(Stream.of(own), reported.stream())
                .sorted()
                .limit(maxOwners(limit, total))
                .toList();
        if (!owners.contains(own)) {
            return 0;
        }
        double claimed = owners.stream().mapToDouble(ShareClaim::demand).sum();
        return total * own.demand() / (claimed + unreported * own.demand());
    }

    /** Returns how many entries may have a request in reserve. */
    private static long maxOwners(double limit, double total) {
        double tolerated = BURST_FACTOR * BURST_SECONDS * limit + BURST_REQUESTS;
        return Math.max(1, (long) (PLANNED_FRACTION * tolerated - BURST_SECONDS * total));
    }
}
