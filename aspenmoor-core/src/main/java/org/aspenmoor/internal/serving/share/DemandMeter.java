package org.aspenmoor.internal.serving.share;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.aspenmoor.internal.serving.RecentRate;

/**
 * Measures the recent demand for one service at this entry: hundreds of requests per second of any number of
 * organisations. Memory is bounded; organisations beyond the bound are measured together.
 */
final class DemandMeter {
    /**
     * Over how long the demand of an organisation is averaged: long enough that a small organisation may send several
     * requests at once, short enough that an organisation whose demand has fallen is no longer limited after a few
     * seconds.
     */
    static final Duration DEMAND_AVERAGING = Duration.ofSeconds(3);

    /** Over how long the totals are averaged. They fluctuate less than the figures of one organisation. */
    static final Duration TOTAL_AVERAGING = Duration.ofSeconds(1);

    /** Without a request for this time, an organisation is forgotten; 14% of its last rate is left then. */
    private static final Duration FORGOTTEN_AFTER = DEMAND_AVERAGING.multipliedBy(2);

    /** How many organisations are measured one by one; an entry serves a few hundred requests per second at most. */
    private static final int MAX_ORGANISATIONS = 1_000;

    private final Map<OrganisationClass, RecentRate> requested = new HashMap<>();
    private final RecentRate completed = new RecentRate(TOTAL_AVERAGING);
    private final RecentRate turnedAway = new RecentRate(TOTAL_AVERAGING);

    void requested(OrganisationClass requester, double work, long now) {
        measured(requester, now).add(work, now);
    }

    double requestedPerSecond(OrganisationClass requester, long now) {
        RecentRate known = requested.get(requester);
        return known == null ? 0 : known.perSecond(now);
    }

    void completed(double work, long now) {
        completed.add(work, now);
    }

    void turnedAway(double work, long now) {
        turnedAway.add(work, now);
    }

    /** Forgets the organisations that have not requested anything for some seconds. */
    void expire(long now) {
        requested.values().removeIf(rate -> rate.idle(FORGOTTEN_AFTER, now));
    }

    /** Returns whether nothing was requested for some seconds. */
    boolean idle() {
        return requested.isEmpty();
    }

    /**
     * Returns the recent demand.
     *
     * @param maxOrganisations how many organisations are listed, those with the most demand; the rest is summed up by
     *     priority
     */
    ServiceDemand demand(String service, int maxOrganisations, long now) {
        List<OrganisationDemand> all = new ArrayList<>();
        Map<Integer, Double> rest = new TreeMap<>();
        requested.forEach((key, rate) -> {
            if (key.isRest()) {
                rest.merge(key.priority(), rate.perSecond(now), Double::sum);
            } else {
                all.add(new OrganisationDemand(key.organisation(), key.priority(), rate.perSecond(now)));
            }
        });
        if (all.size() > maxOrganisations) {
            all.sort(Comparator.comparingDouble(OrganisationDemand::workPerSecond)
                    .reversed());
            List<OrganisationDemand> smallest = all.subList(maxOrganisations, all.size());
            smallest.forEach(each -> rest.merge(each.priority(), each.workPerSecond(), Double::sum));
            smallest.clear();
        }
        rest.forEach((priority, work) -> all.add(new OrganisationDemand(OrganisationClass.REST, priority, work)));
        return new ServiceDemand(service, all, completed.perSecond(now), turnedAway.perSecond(now));
    }

    private RecentRate measured(OrganisationClass requester, long now) {
        RecentRate known = requested.get(requester);
        if (known != null) {
            return known;
        }
        if (requested.size() >= MAX_ORGANISATIONS) {
            expire(now);
        }
        OrganisationClass key = requested.size() < MAX_ORGANISATIONS
                ? requester
                : new OrganisationClass(OrganisationClass.REST, requester.priority());
        return requested.computeIfAbsent(key, unseen -> new RecentRate(DEMAND_AVERAGING));
    }
}
