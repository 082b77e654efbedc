package org.aspenmoor.internal.planning;

import java.util.List;

/** What moving from one split to another loses, in weighted completed requests. */
final class MoveCost {
    private final GoodputModel model;
    private final RoleChangeCosts costs;

    MoveCost(GoodputModel model, RoleChangeCosts costs) {
        this.model = model;
        this.costs = costs;
    }

    double awaySeconds() {
        return costs.drainSeconds() + costs.secondsAway();
    }

    double price(RoleSplit from, RoleSplit to) {
        return costs.price() * from.changesTo(to);
    }

    /** Returns the goodput of a stretch of time that begins with the move. */
    double goodput(RoleSplit from, RoleSplit to, List<KindDemand> demands, double seconds) {
        double away = from.equals(to) ? 0 : Math.min(seconds, awaySeconds());
        double goodput = model.perSecond(to, demands) * (seconds - away);
        return away > 0 ? goodput + model.perSecond(from.during(to), demands) * away : goodput;
    }
}
