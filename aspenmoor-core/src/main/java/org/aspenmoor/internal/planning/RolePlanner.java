package org.aspenmoor.internal.planning;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Predicate;
import org.aspenmoor.internal.engine.EngineRole;

/**
 * Plans the roles of one service's engines in one data centre. Confined to one thread.
 *
 * <p>A change is made only where the weighted goodput it gains over the horizon exceeds what the seconds away lose and
 * the team's price for changes. Where counts are missing, late or absurd, the planner stands still: a change made on wrong
 * counts costs seconds of an engine twice, there and back.
 */
public final class RolePlanner {
    private static final double NANOSECONDS = 1e9;
    private static final double SHORTEST_PAYING_TIMES_AWAY = 3;
    private static final double LEAST_GAIN_SHARE_OF_PRICE = 0.5;
    private static final double MOST_ANSWERS_FOR_A_PLACE = 1.6;
    private static final long FORGET_SOURCE_AFTER_NANOSECONDS = 30_000_000_000L;

    private final PlannerSettings settings;
    private final GoodputModel model;
    private final DemandForecast forecast;

    public RolePlanner(PlannerSettings settings) {
        this.settings = settings;
        this.model = new GoodputModel(settings);
        this.forecast = new DemandForecast(model);
    }

    /** Takes the counts of one entry; answers whether they were used. */
    public boolean observe(WorkCounts counts) {
        return forecast.observe(counts);
    }

    /** Plans the roles from what was observed so far. */
    public RolePlan plan(PlanningInput input, long nowNanoseconds) {
        long completeUntil = forecast.completeUntil(nowNanoseconds, FORGET_SOURCE_AFTER_NANOSECONDS);
        if (completeUntil == Long.MIN_VALUE) {
            return standStill(input, "No counts have come in.");
        }
        double age = (nowNanoseconds - completeUntil) / NANOSECONDS;
        if (age > settings.staleSeconds()) {
            return standStill(input, String.format(Locale.ROOT, "The counts are %.1f s old.", age));
        }
        RoleSplit movable = split(input, false);
        RoleSplit current = split(input, true);
        if (movable.total() == 0) {
            return standStill(input, "No engine is available.");
        }
        SplitSearch.Factory ideal = splitValue ->
                new SplitSearch(split -> split.servesBothStages() && split.isPaired(), splitValue).best(current);
        double shortestPaying = SHORTEST_PAYING_TIMES_AWAY
                * (input.costs().secondsAway() + input.costs().drainSeconds());
        return forecast.outlook(input.kinds(), completeUntil, shortestPaying, ideal)
                .map(outlook -> search(input, outlook, movable, current))
                .orElseGet(() -> standStill(input, "No work has arrived."));
    }

    private RolePlan search(PlanningInput input, Outlook outlook, RoleSplit movable, RoleSplit current) {
        MoveCost moveCost = new MoveCost(model, input.costs());
        double remaining = Math.min(settings.horizonSeconds(), outlook.remainingSeconds());
        double after = Math.min(settings.horizonSeconds() - remaining, outlook.afterSeconds());
        ContinuationValue continuation = new ContinuationValue(model, moveCost, outlook.past(), after);
        SplitValue value = new SplitValue(moveCost, current, outlook.present(), remaining, continuation);
        SplitSearch search = new SplitSearch(allowed(input, movable, current), value::of);
        RoleSplit best = search.best(current);
        double gain = value.of(best) - value.of(current);
        double least = outlook.leastGainShare()
                        * model.perSecond(current, outlook.present().demands())
                        * remaining
                + LEAST_GAIN_SHARE_OF_PRICE * moveCost.price(current, best);
        if (best.equals(current) || gain <= least) {
            return standStill(input, "No change pays for itself; " + current + ".");
        }
        String reason = String.format(
                Locale.ROOT,
                "From %s to %s: gains %.1f weighted requests after all costs; the mix has lasted %.0f s"
                        + " and is expected to last %.0f s on.",
                current,
                best,
                gain,
                outlook.present().seconds(),
                remaining);
        return changeTo(input, current, best, reason);
    }

    private Predicate<RoleSplit> allowed(PlanningInput input, RoleSplit movable, RoleSplit current) {
        int running = input.engines().stream()
                .mapToInt(PlannedEngine::runningSequences)
                .sum();
        int away = current.total() - movable.total();
        int mostAway = (int) Math.ceil(settings.mostAwayShare() * current.total()) - away;
        return split -> split.servesBothStages()
                && split.isPaired()
                && current.changesTo(split) <= mostAway
                && leavesNoRoleEmpty(movable, current, split)
                && holdsRunningAnswers(running, current, split);
    }

    /** While engines change, those that stay and work must still serve both stages. */
    private static boolean leavesNoRoleEmpty(RoleSplit movable, RoleSplit current, RoleSplit split) {
        RoleSplit staying = movable;
        for (EngineRole role : EngineRole.values()) {
            int leaving = Math.max(0, current.count(role) - split.count(role));
            if (leaving > movable.count(role)) {
                return false;
            }
            staying = staying.plus(role, -leaving);
        }
        return staying.servesBothStages() || !movable.servesBothStages();
    }

    /** Answers that run must be taken over by engines that stay; a few may wait, since their deadlines leave slack. */
    private boolean holdsRunningAnswers(int running, RoleSplit current, RoleSplit split) {
        RoleSplit during = current.during(split);
        boolean fewer = during.decode() + during.whole() < current.decode() + current.whole();
        double places = (double) (during.decode() + during.whole()) * settings.decodeBatch();
        return !fewer || running <= MOST_ANSWERS_FOR_A_PLACE * places;
    }

    private static RolePlan changeTo(PlanningInput input, RoleSplit current, RoleSplit best, String reason) {
        Map<String, EngineRole> roles = rolesNow(input);
        List<RoleChange> changes = RoleAssignment.changes(input.engines(), current, best);
        changes.forEach(change -> roles.put(change.engine(), change.to()));
        return new RolePlan(roles, changes, reason);
    }

    private static RolePlan standStill(PlanningInput input, String reason) {
        return new RolePlan(rolesNow(input), List.of(), reason);
    }

    private static Map<String, EngineRole> rolesNow(PlanningInput input) {
        Map<String, EngineRole> roles = new HashMap<>();
        input.engines().forEach(engine -> roles.put(engine.name(), engine.role()));
        return roles;
    }

    private static RoleSplit split(PlanningInput input, boolean withChanging) {
        RoleSplit split = new RoleSplit(0, 0, 0);
        for (PlannedEngine engine : input.engines()) {
            if (engine.isAvailable() || (withChanging && engine.counts())) {
                split = split.plus(engine.role(), 1);
            }
        }
        return split;
    }
}
