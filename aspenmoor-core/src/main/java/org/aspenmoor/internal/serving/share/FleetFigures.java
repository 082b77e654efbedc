package org.aspenmoor.internal.serving.share;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The recent demand for one service over all entries; rates are in work per second.
 *
 * @param demands the demand of each organisation and priority
 * @param requested the sum of the demands
 * @param completed the work of requests whose answers started
 * @param turnedAway the work of admitted requests that were refused because no server had room
 */
record FleetFigures(Collection<WeightedDemand> demands, double requested, double completed, double turnedAway) {
    /** For how many organisations the rest of a report counts at most, whatever its figures are. */
    private static final double MAX_REST_WEIGHT = 1_000;

    /** Adds up what entries have measured. */
    static FleetFigures of(List<ServiceDemand> entries) {
        Map<OrganisationClass, WeightedDemand> demands = new HashMap<>();
        double requested = 0;
        double completed = 0;
        double turnedAway = 0;
        for (ServiceDemand entry : entries) {
            completed += entry.completedPerSecond();
            turnedAway += entry.turnedAwayPerSecond();
            double smallest = smallestListed(entry);
            for (OrganisationDemand each : entry.organisations()) {
                requested += each.workPerSecond();
                OrganisationClass requester = new OrganisationClass(each.organisation(), each.priority());
                double weight = requester.isRest() ? restWeight(each, smallest) : 1;
                demands.merge(
                        requester, new WeightedDemand(requester, each.workPerSecond(), weight), WeightedDemand::plus);
            }
        }
        return new FleetFigures(demands.values(), requested, completed, turnedAway);
    }

    /** Returns how many organisations the rest is at least, since each demands no more than those that are listed. */
    private static double restWeight(OrganisationDemand rest, double smallestListed) {
        return Math.clamp(Math.ceil(rest.workPerSecond() / smallestListed), 1, MAX_REST_WEIGHT);
    }

    private static double smallestListed(ServiceDemand entry) {
        return entry.organisations().stream()
                .filter(each -> each.organisation() != OrganisationClass.REST && each.workPerSecond() > 0)
                .mapToDouble(OrganisationDemand::workPerSecond)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }
}
