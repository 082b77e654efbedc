package org.aspenmoor.internal.planning;

import java.util.List;
import org.aspenmoor.internal.routing.EngineSpeed;

/**
 * Calculates the weighted goodput that a split of engine roles can reach for a demand.
 *
 * <p>Prefill engines provide engine-seconds of prefill, decode engines provide engine-seconds of decode, and engines
 * that serve both provide either, slowed down by mixing the two. As in admission, kinds are served in the order of
 * their weight, each with the engine-seconds that kinds of greater weight leave.
 */
public final class GoodputModel {
    private static final double USABLE_DEADLINE_FRACTION = 0.7;

    // An engine that serves both stages also has smaller decode batches, which costs about as much again.
    private static final double MIXING_PENALTY_FACTOR = 2;

    private final PlannerSettings settings;

    public GoodputModel(PlannerSettings settings) {
        this.settings = settings;
    }

    /** Returns the engine-seconds needed for the prefill of so many prompt tokens. */
    public double prefillSeconds(double promptTokens) {
        return settings.speed().prefillSeconds(promptTokens);
    }

    /** Returns the engine-seconds needed for the decode of so many answer tokens, at the assumed batch size. */
    public double decodeSeconds(double outputTokens) {
        EngineSpeed speed = settings.speed();
        return outputTokens * speed.stepSeconds(settings.decodeBatch()) / settings.decodeBatch();
    }

    /** Returns the demand of a kind for an arrival rate and mean lengths in tokens. */
    public KindDemand demand(KindObjective kind, double requestsPerSecond, double promptTokens, double outputTokens) {
        double answerSeconds = outputTokens * settings.speed().stepSeconds(settings.decodeBatch());
        double usableSeconds = USABLE_DEADLINE_FRACTION * kind.deadlineSeconds();
        return new KindDemand(
                kind.weight(),
                requestsPerSecond,
                prefillSeconds(promptTokens),
                decodeSeconds(outputTokens),
                Math.max(0, 1 - answerSeconds / usableSeconds));
    }

    /** Returns the weighted goodput per second; {@code demands} must be sorted by falling weight. */
    public double goodputPerSecond(RoleSplit split, List<KindDemand> demands) {
        double prefill = split.prefill() * settings.utilisation();
        double decode = split.decode() * settings.utilisation();
        double combined = split.combined() * settings.utilisation();
        double combinedPrefill = combined * maxPrefillFraction(demands);
        double goodput = 0;
        for (KindDemand demand : demands) {
            double served = Math.min(
                    servedPerSecond(demand, prefill, decode, combined),
                    maxPrefillRate(demand, prefill, combinedPrefill));
            double prefillWork = served * demand.prefillSeconds();
            double decodeWork = served * demand.decodeSeconds();
            combinedPrefill = Math.max(0, combinedPrefill - combinedWork(prefillWork - prefill, 0));
            combined = Math.max(0, combined - combinedWork(prefillWork - prefill, decodeWork - decode));
            prefill = Math.max(0, prefill - prefillWork);
            decode = Math.max(0, decode - decodeWork);
            goodput += served * demand.weight();
        }
        return goodput;
    }

    /**
     * Returns the fraction of time for prefill on engines that serve both stages. Prefill delays all answers of an
     * engine, so the kind with the least slack sets the limit.
     */
    private static double maxPrefillFraction(List<KindDemand> demands) {
        double minFraction = 1;
        for (KindDemand demand : demands) {
            minFraction = Math.min(minFraction, demand.maxPrefillFraction());
        }
        return minFraction;
    }

    private double maxPrefillRate(KindDemand demand, double prefill, double combinedPrefill) {
        if (demand.prefillSeconds() <= 0) {
            return Double.POSITIVE_INFINITY;
        }
        return (prefill + combinedPrefill / mixedWorkFactor()) / demand.prefillSeconds();
    }

    private double mixedWorkFactor() {
        return 1 + MIXING_PENALTY_FACTOR * settings.speed().mixingSlowdown();
    }

    private double combinedWork(double excessPrefill, double excessDecode) {
        double work = Math.max(0, excessPrefill) + Math.max(0, excessDecode);
        return work * mixedWorkFactor();
    }

    private double servedPerSecond(KindDemand demand, double prefill, double decode, double combined) {
        double requested = demand.requestsPerSecond();
        if (requiredCombined(demand, requested, prefill, decode) <= combined) {
            return requested;
        }
        double prefillLimit = demand.prefillSeconds() > 0 ? prefill / demand.prefillSeconds() : requested;
        double decodeLimit = demand.decodeSeconds() > 0 ? decode / demand.decodeSeconds() : requested;
        double low = Math.min(prefillLimit, decodeLimit);
        double high = Math.max(prefillLimit, decodeLimit);
        double workFactor = mixedWorkFactor();
        double requiredAtHigh = requiredCombined(demand, high, prefill, decode);
        if (requiredAtHigh >= combined) {
            double slope = (prefillLimit < decodeLimit ? demand.prefillSeconds() : demand.decodeSeconds()) * workFactor;
            return slope > 0 ? Math.min(requested, low + combined / slope) : requested;
        }
        double slope = (demand.prefillSeconds() + demand.decodeSeconds()) * workFactor;
        return Math.min(requested, high + (combined - requiredAtHigh) / slope);
    }

    private double requiredCombined(KindDemand demand, double served, double prefill, double decode) {
        return combinedWork(served * demand.prefillSeconds() - prefill, served * demand.decodeSeconds() - decode);
    }
}
