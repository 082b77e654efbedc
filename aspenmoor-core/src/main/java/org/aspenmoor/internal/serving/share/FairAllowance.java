package org.aspenmoor.internal.serving.share;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.aspenmoor.internal.serving.share.WaterLevel.Part;

/**
 * How much each organisation may use of a service's total, max-min fair; immutable. A pure function of the demands and
 * the total, so that entries with the same figures calculate the same; some thousands of demands at a time.
 *
 * <p>Priorities shift work among classes without excluding any: each class keeps at least half of what its organisations
 * would get without priorities, and the rest goes to the more urgent classes first.
 */
final class FairAllowance {
    /** Part of its fair part that a class keeps whatever more urgent classes demand. */
    private static final double CLASS_FLOOR = 0.5;

    private static final FairAllowance UNLIMITED = new FairAllowance();

    private final Map<OrganisationClass, Double> fractions = new HashMap<>();
    private final Map<Integer, Double> levels = new HashMap<>();

    private FairAllowance() {}

    static FairAllowance unlimited() {
        return UNLIMITED;
    }

    /** Divides a total among demands, of which there is one for each requester. */
    static FairAllowance of(Collection<WeightedDemand> demands, double total) {
        Map<Long, Part> byOrganisation = new HashMap<>();
        demands.stream()
                .filter(each -> each.workPerSecond() > 0)
                .forEach(each -> byOrganisation.merge(
                        each.requester().organisation(),
                        new Part(each.workPerSecond(), each.weight()),
                        (first, second) ->
                                new Part(first.demand() + second.demand(), Math.max(first.weight(), second.weight()))));
        double level = WaterLevel.of(List.copyOf(byOrganisation.values()), total);
        if (Double.isInfinite(level)) {
            return UNLIMITED;
        }
        TreeMap<Integer, PriorityClass> classes = new TreeMap<>();
        for (WeightedDemand each : demands) {
            if (each.workPerSecond() > 0) {
                Part organisation = byOrganisation.get(each.requester().organisation());
                classes.computeIfAbsent(each.requester().priority(), unseen -> new PriorityClass())
                        .add(each, organisation, level);
            }
        }
        FairAllowance allowance = new FairAllowance();
        double spare = total
                - classes.values().stream()
                        .mapToDouble(each -> CLASS_FLOOR * each.fairPart)
                        .sum();
        for (Map.Entry<Integer, PriorityClass> each : classes.entrySet()) {
            PriorityClass priorityClass = each.getValue();
            double floor = CLASS_FLOOR * priorityClass.fairPart;
            double extra = Math.clamp(spare, 0, priorityClass.demand - floor);
            spare -= extra;
            allowance.divide(each.getKey(), priorityClass.parts, floor + extra);
        }
        return allowance;
    }

    /** Returns the part of an organisation's requests that is admitted, from 0 to 1. */
    double admittedFraction(OrganisationClass requester) {
        return fractions.getOrDefault(requester, 1.0);
    }

    /** Returns whether the organisation was among the demands. */
    boolean knows(OrganisationClass requester) {
        return fractions.containsKey(requester);
    }

    /** Returns how much work per second an organisation of a priority is allowed at most. */
    double mostPerSecond(int priority) {
        return levels.getOrDefault(priority, Double.POSITIVE_INFINITY);
    }

    /** Returns whether the allowance of any organisation is below its demand. */
    boolean limits() {
        return !fractions.isEmpty();
    }

    private void divide(int priority, Map<OrganisationClass, Part> parts, double total) {
        double level = WaterLevel.of(List.copyOf(parts.values()), total);
        levels.put(priority, level);
        parts.forEach((requester, part) -> fractions.put(requester, part.allowedAt(level) / part.demand()));
    }

    private static final class PriorityClass {
        private final Map<OrganisationClass, Part> parts = new HashMap<>();
        private double demand;
        private double fairPart;

        /** Adds a demand; an organisation with several priorities has its weight divided among them. */
        void add(WeightedDemand each, Part organisation, double level) {
            double partOfOrganisation = each.workPerSecond() / organisation.demand();
            parts.put(each.requester(), new Part(each.workPerSecond(), organisation.weight() * partOfOrganisation));
            demand += each.workPerSecond();
            fairPart += organisation.allowedAt(level) * partOfOrganisation;
        }
    }
}
