package org.aspenmoor.internal.planning;

import java.util.List;

/** What moving from one split to another loses, in weighted completed requests. */
final class TransitionCost {
    private final GoodputModel model;
    private final RoleChangeCosts costs;

    TransitionCost(GoodputModel model, RoleChangeCosts costs) {
        this.model = model;
        this.costs = costs;
    }

    double unavailableSeconds() {
        return costs.drainSeconds() + costs.unavailableSeconds();
    }

    double price(RoleSplit from, RoleSplit to) {
        return costs.price() * from.changesTo(to);
    }

    /** Returns the goodput of a stretch of time that begins with the move. */
    double goodput(RoleSplit from, RoleSplit to, List<KindDemand> demands, double seconds) {
        double unavailableSeconds = from.equals(to) ? 0 : Math.min(seconds, unavailableSeconds());
        double goodput = model.goodputPerSecond(to, demands) * (seconds - unavailableSeconds);
        return unavailableSeconds > 0 ? goodput + model.goodputPerSecond(from.duringChangeTo(to), demands) * unavailableSeconds : goodput;
    }
}
