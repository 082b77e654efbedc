package org.aspenmoor.internal.serving.share;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The max-min fair division of a total: each demand gets the level times its weight at most, and the level is as high
 * as the total allows.
 */
final class WaterLevel {
    private WaterLevel() {}

    /** Returns the work per second for each unit of weight; infinite if the total covers all demands. */
    static double of(List<Part> parts, double total) {
        List<Part> ascending = new ArrayList<>(parts);
        ascending.sort(Comparator.comparingDouble(Part::demandPerWeight));
        double remaining = total;
        double weight = ascending.stream().mapToDouble(Part::weight).sum();
        for (Part part : ascending) {
            if (part.demand() * weight > remaining * part.weight()) {
                return Math.max(0, remaining) / weight;
            }
            remaining -= part.demand();
            weight -= part.weight();
        }
        return Double.POSITIVE_INFINITY;
    }

    /** A demand with its weight, which is above zero. */
    record Part(double demand, double weight) {
        private double demandPerWeight() {
            return demand / weight;
        }

        /** Returns what this demand gets at a level. */
        double allowedAt(double level) {
            return Math.min(demand, level * weight);
        }
    }
}
