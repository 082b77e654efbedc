package org.aspenmoor.internal.gateway.request;

import java.util.HashSet;
import java.util.Set;

/**
 * Limits the number of values of a metric's label. Each value is a time series of its own, so thousands of names would
 * fill the memory of the entry and of whatever collects the metrics.
 */
final class BoundedLabels {
    private static final String OTHER = "other";

    private final int maxValues;
    private final Set<String> values = new HashSet<>();

    BoundedLabels(int maxValues) {
        this.maxValues = maxValues;
    }

    /** Returns the name if it is among the first ones seen, otherwise a common name for all others. */
    String valueFor(String name) {
        if (values.contains(name)) {
            return name;
        }
        if (values.size() >= maxValues) {
            return OTHER;
        }
        values.add(name);
        return name;
    }
}
