package org.aspenmoor.internal.bench.capacity;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Everything that one run measured.
 *
 * @param slopes the fitted slopes
 * @param links how the planned fleet is linked
 * @param trials the dissemination trials by name, in the order in which they ran
 */
record Measurements(List<Slope> slopes, LinkCounts links, Map<String, TrialResult> trials) {
    Figure slope(SlopeName name) {
        Map<SlopeName, Slope> byName = new EnumMap<>(SlopeName.class);
        slopes.forEach(slope -> byName.put(slope.cost(), slope));
        return Figure.slopeOf(byName.get(name));
    }

    TrialResult healthy() {
        return trials.values().iterator().next();
    }
}
