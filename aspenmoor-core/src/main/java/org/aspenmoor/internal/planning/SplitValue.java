package org.aspenmoor.internal.planning;

import java.util.List;

/**
 * What moving to a split is worth over the horizon, in weighted completed requests.
 *
 * <p>Until the present mix is expected to end its own demand counts, after that the mixes of the past in proportion to
 * the time they lasted. The present demand is tried higher and lower by its statistical error too, so that a split that
 * only suits the exact mean does not win.
 */
final class SplitValue {
    private static final double DEVIATIONS = 1.2;

    private final GoodputModel model;
    private final PlannerSettings settings;
    private final RoleChangeCosts costs;
    private final RoleSplit current;
    private final MixHistory history;
    private final double presentSeconds;
    private final List<KindDemand> present;
    private final List<KindDemand> higher;
    private final List<KindDemand> lower;

    SplitValue(
            GoodputModel model,
            PlannerSettings settings,
            RoleChangeCosts costs,
            RoleSplit current,
            MixHistory history) {
        this.model = model;
        this.settings = settings;
        this.costs = costs;
        this.current = current;
        this.history = history;
        this.presentSeconds = Math.min(settings.horizonSeconds(), history.remainingSeconds());
        this.present = history.present().demands();
        this.higher = shifted(DEVIATIONS);
        this.lower = shifted(-DEVIATIONS);
    }

    double of(RoleSplit split) {
        int changes = current.changesTo(split);
        double away = changes == 0 ? 0 : costs.drainSeconds() + costs.secondsAway();
        double awayInPresent = Math.min(away, presentSeconds);
        RoleSplit during = current.during(split);
        double value = present(during) * awayInPresent + present(split) * (presentSeconds - awayInPresent);
        double later = settings.horizonSeconds() - presentSeconds;
        double awayLater = Math.min(later, away - awayInPresent);
        value += longRun(during) * awayLater + longRun(split) * (later - awayLater);
        return value - costs.price() * changes;
    }

    private double present(RoleSplit split) {
        return (2 * model.perSecond(split, present) + model.perSecond(split, higher) + model.perSecond(split, lower))
                / 4;
    }

    private double longRun(RoleSplit split) {
        double seconds = history.present().seconds();
        double sum = model.perSecond(split, present) * seconds;
        for (Segment segment : history.past()) {
            sum += model.perSecond(split, segment.demands()) * segment.seconds();
            seconds += segment.seconds();
        }
        return sum / seconds;
    }

    private List<KindDemand> shifted(double deviations) {
        double seconds = history.present().seconds();
        return present.stream()
                .map(demand -> {
                    double counted = Math.max(1, demand.requestsPerSecond() * seconds);
                    return demand.scaled(Math.max(0, 1 + deviations / Math.sqrt(counted)));
                })
                .toList();
    }
}
