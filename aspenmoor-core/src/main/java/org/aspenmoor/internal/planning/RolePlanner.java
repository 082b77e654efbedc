package org.aspenmoor.internal.planning;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Predicate;
import org.aspenmoor.internal.engine.EngineRole;

/**
 * Plans the roles of the engines of one service in one data centre. Not thread-safe; confined to one thread.
 *
 * <p>A change is made only if the weighted goodput that it gains over the horizon exceeds the loss while engines are
 * unavailable plus the price that the team sets for changes. If counts are missing, late or invalid, all roles are
 * kept: a change based on wrong counts makes engines unavailable twice, for the change and for its reversal.
 */
public final class RolePlanner {
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double MIN_PAYBACK_FACTOR = 3;
    private static final double MIN_GAIN_FRACTION_OF_PRICE = 0.5;
    private static final double MAX_SEQUENCES_PER_BATCH_SLOT = 1.6;
    private static final long SOURCE_EXPIRY_NANOSECONDS = 30_000_000_000L;

    private final PlannerSettings settings;
    private final GoodputModel model;
    private final DemandForecast forecast;

    public RolePlanner(PlannerSettings settings) {
        this.settings = settings;
        this.model = new GoodputModel(settings);
        this.forecast = new DemandForecast(model);
    }

    /** Adds the counts of one entry; returns whether they were accepted. */
    public boolean observe(WorkCounts counts) {
        return forecast.observe(counts);
    }

    /** Plans the roles from the counts added so far. */
    public RolePlan plan(PlanningInput input, long nowNanoseconds) {
        long completeUntil = forecast.completeUntil(nowNanoseconds, SOURCE_EXPIRY_NANOSECONDS);
        if (completeUntil == Long.MIN_VALUE) {
            return keepRoles(input, "No counts were received.");
        }
        double ageSeconds = (nowNanoseconds - completeUntil) / NANOSECONDS_PER_SECOND;
        if (ageSeconds > settings.staleSeconds()) {
            return keepRoles(input, String.format(Locale.ROOT, "The counts are stale: %.1f s old.", ageSeconds));
        }
        RoleSplit available = split(input, false);
        RoleSplit current = split(input, true);
        if (available.total() == 0) {
            return keepRoles(input, "No engine is available.");
        }
        SplitSearch.Finder bestSplitFinder = splitValue ->
                new SplitSearch(split -> split.servesBothStages() && split.hasNoIdleStage(), splitValue).best(current);
        double minPaybackSeconds = MIN_PAYBACK_FACTOR
                * (input.costs().unavailableSeconds() + input.costs().drainSeconds());
        return forecast.expectedWorkload(input.kinds(), completeUntil, minPaybackSeconds, bestSplitFinder)
                .map(workload -> search(input, workload, available, current))
                .orElseGet(() -> keepRoles(input, "No requests have arrived."));
    }

    private RolePlan search(PlanningInput input, WorkloadForecast workload, RoleSplit available, RoleSplit current) {
        TransitionCost transitionCost = new TransitionCost(model, input.costs());
        double remainingSeconds = Math.min(settings.horizonSeconds(), workload.remainingSeconds());
        double continuationSeconds =
                Math.min(settings.horizonSeconds() - remainingSeconds, workload.continuationSeconds());
        ContinuationValue continuation =
                new ContinuationValue(model, transitionCost, workload.pastPeriods(), continuationSeconds);
        SplitValue value =
                new SplitValue(transitionCost, current, workload.currentPeriod(), remainingSeconds, continuation);
        SplitSearch search = new SplitSearch(allowedSplits(input, available, current), value::valueOf);
        RoleSplit best = search.best(current);
        double gain = value.valueOf(best) - value.valueOf(current);
        double minGain = workload.minGainFraction()
                        * model.goodputPerSecond(
                                current, workload.currentPeriod().demands())
                        * remainingSeconds
                + MIN_GAIN_FRACTION_OF_PRICE * transitionCost.price(current, best);
        if (best.equals(current) || gain <= minGain) {
            return keepRoles(input, "No change gains more than it costs; the split stays at " + current + ".");
        }
        String reason = String.format(
                Locale.ROOT,
                "From %s to %s: gains %.1f weighted requests after all costs; the mix has lasted %.0f s"
                        + " and is expected to last another %.0f s.",
                current,
                best,
                gain,
                workload.currentPeriod().seconds(),
                remainingSeconds);
        return planChange(input, current, best, reason);
    }

    private Predicate<RoleSplit> allowedSplits(PlanningInput input, RoleSplit available, RoleSplit current) {
        int runningSequences = input.engines().stream()
                .mapToInt(PlannedEngine::runningSequences)
                .sum();
        int unavailable = current.total() - available.total();
        int maxUnavailable = (int) Math.ceil(settings.maxUnavailableFraction() * current.total()) - unavailable;
        return split -> split.servesBothStages()
                && split.hasNoIdleStage()
                && current.changesTo(split) <= maxUnavailable
                && keepsBothStagesServed(available, current, split)
                && canRunCurrentSequences(runningSequences, current, split);
    }

    /** Returns whether the available engines that keep their role serve both stages while the others change. */
    private static boolean keepsBothStagesServed(RoleSplit available, RoleSplit current, RoleSplit split) {
        RoleSplit remaining = available;
        for (EngineRole role : EngineRole.values()) {
            int changing = Math.max(0, current.count(role) - split.count(role));
            if (changing > available.count(role)) {
                return false;
            }
            remaining = remaining.plus(role, -changing);
        }
        return remaining.servesBothStages() || !available.servesBothStages();
    }

    /**
     * Returns whether the engines that keep their role can continue the running sequences. Some sequences may wait
     * for a batch slot, because their deadlines leave slack.
     */
    private boolean canRunCurrentSequences(int runningSequences, RoleSplit current, RoleSplit split) {
        RoleSplit during = current.duringChangeTo(split);
        boolean fewer = during.decode() + during.combined() < current.decode() + current.combined();
        double batchSlots = (double) (during.decode() + during.combined()) * settings.decodeBatch();
        return !fewer || runningSequences <= MAX_SEQUENCES_PER_BATCH_SLOT * batchSlots;
    }

    private static RolePlan planChange(PlanningInput input, RoleSplit current, RoleSplit best, String reason) {
        Map<String, EngineRole> roles = currentRoles(input);
        List<RoleChange> changes = RoleAssignment.changes(input.engines(), current, best);
        changes.forEach(change -> roles.put(change.engine(), change.to()));
        return new RolePlan(roles, changes, reason);
    }

    private static RolePlan keepRoles(PlanningInput input, String reason) {
        return new RolePlan(currentRoles(input), List.of(), reason);
    }

    private static Map<String, EngineRole> currentRoles(PlanningInput input) {
        Map<String, EngineRole> roles = new HashMap<>();
        input.engines().forEach(engine -> roles.put(engine.name(), engine.role()));
        return roles;
    }

    private static RoleSplit split(PlanningInput input, boolean includeChanging) {
        RoleSplit split = new RoleSplit(0, 0, 0);
        for (PlannedEngine engine : input.engines()) {
            if (engine.isAvailable() || (includeChanging && engine.countsTowardSplit())) {
                split = split.plus(engine.role(), 1);
            }
        }
        return split;
    }
}
