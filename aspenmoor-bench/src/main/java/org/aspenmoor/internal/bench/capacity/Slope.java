package org.aspenmoor.internal.bench.capacity;

import java.util.List;
import java.util.stream.Collectors;

/**
 * How one cost grows with one size.
 *
 * @param cost what it is
 * @param unit the unit of the slope
 * @param sizes the sizes that were measured
 * @param fit the line
 */
record Slope(SlopeName cost, String unit, List<Integer> sizes, LinearFit fit) {
    Slope {
        sizes = List.copyOf(sizes);
    }

    /** Returns the sizes as they stand in the table. */
    String sizesText() {
        return sizes.stream().map(String::valueOf).collect(Collectors.joining(", "));
    }
}
