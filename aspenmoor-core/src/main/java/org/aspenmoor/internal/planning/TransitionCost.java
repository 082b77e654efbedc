package org.aspenmoor.internal.planning;

import java.util.List;

/** The cost of a transition from one split to another, in weighted completed requests. */
final class TransitionCost {
    private final GoodputModel model;
    private final RoleChangeCosts costs;

    TransitionCost(GoodputModel model, RoleChangeCosts costs) {
        this.model = model;
        this.costs = costs;
    }

    /** Returns how long a changing engine is unavailable, including the drain. */
    double transitionSeconds() {
        return costs.drainSeconds() + costs.unavailableSeconds();
    }

    /** Returns the price that the team sets for the role changes. */
    double price(RoleSplit from, RoleSplit to) {
        return costs.price() * from.changesTo(to);
    }

    /** Returns the goodput of a period of so many seconds that begins with the transition. */
    double goodput(RoleSplit from, RoleSplit to, List<KindDemand> demands, double seconds) {
        double transitionSeconds = from.equals(to) ? 0 : Math.min(seconds, transitionSeconds());
        double goodput = model.goodputPerSecond(to, demands) * (seconds - transitionSeconds);
        return transitionSeconds > 0
                ? goodput + model.goodputPerSecond(from.duringChangeTo(to), demands) * transitionSeconds
                : goodput;
    }
}
