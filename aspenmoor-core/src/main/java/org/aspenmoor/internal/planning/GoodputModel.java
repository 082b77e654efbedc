package org.aspenmoor.internal.planning;

import java.util.List;
import org.aspenmoor.internal.routing.EngineSpeed;

/**
 * Calculates the weighted goodput that a split of roles can reach for a demand.
 *
 * <p>Prefill engines give engine-seconds of prefill, decode engines of decode, and whole engines of either, slowed by
 * mixing. Kinds are served in the order of their weight, as admission does, each as far as the engine-seconds left over
 * by the heavier ones reach.
 */
public final class GoodputModel {
    private static final double USABLE_DEADLINE_SHARE = 0.7;

    // An engine that does both also runs its decode steps over smaller batches, which costs about as much again.
    private static final double MIXING_LOSSES = 2;

    private final PlannerSettings settings;

    public GoodputModel(PlannerSettings settings) {
        this.settings = settings;
    }

    /** Returns the engine-seconds of prefill of so many prompt tokens. */
    public double prefillSeconds(double promptTokens) {
        return settings.speed().prefillSeconds(promptTokens);
    }

    /** Returns the engine-seconds of decode of so many answer tokens, at the batch that decode is priced at. */
    public double decodeSeconds(double outputTokens) {
        EngineSpeed speed = settings.speed();
        return outputTokens * speed.stepSeconds(settings.decodeBatch()) / settings.decodeBatch();
    }

    /** Returns the demand of one kind with so many requests a second of these mean lengths. */
    public KindDemand demand(KindWeight kind, double requestsPerSecond, double promptTokens, double outputTokens) {
        double answerSeconds = outputTokens * settings.speed().stepSeconds(settings.decodeBatch());
        double usable = USABLE_DEADLINE_SHARE * kind.deadlineSeconds();
        return new KindDemand(
                kind.weight(),
                requestsPerSecond,
                prefillSeconds(promptTokens),
                decodeSeconds(outputTokens),
                Math.max(0, 1 - answerSeconds / usable));
    }

    /** Returns the weighted goodput a second; the demand must be sorted by falling weight. */
    public double perSecond(RoleSplit split, List<KindDemand> demands) {
        double prefill = split.prefill() * settings.utilisation();
        double decode = split.decode() * settings.utilisation();
        double whole = split.whole() * settings.utilisation();
        double wholePrompts = whole * mostMixedShare(demands);
        double goodput = 0;
        for (KindDemand demand : demands) {
            double served =
                    Math.min(served(demand, prefill, decode, whole), promptLimit(demand, prefill, wholePrompts));
            double prefillWork = served * demand.prefillSeconds();
            double decodeWork = served * demand.decodeSeconds();
            wholePrompts = Math.max(0, wholePrompts - wholeWork(prefillWork - prefill, 0));
            whole = Math.max(0, whole - wholeWork(prefillWork - prefill, decodeWork - decode));
            prefill = Math.max(0, prefill - prefillWork);
            decode = Math.max(0, decode - decodeWork);
            goodput += served * demand.weight();
        }
        return goodput;
    }

    /** Prompts computed on an engine slow every answer that it generates, so the most urgent kind sets the bound. */
    private static double mostMixedShare(List<KindDemand> demands) {
        double least = 1;
        for (KindDemand demand : demands) {
            least = Math.min(least, demand.mostMixedShare());
        }
        return least;
    }

    private double promptLimit(KindDemand demand, double prefill, double wholePrompts) {
        if (demand.prefillSeconds() <= 0) {
            return Double.POSITIVE_INFINITY;
        }
        return (prefill + wholePrompts / mixedWorkFactor()) / demand.prefillSeconds();
    }

    private double mixedWorkFactor() {
        return 1 + MIXING_LOSSES * settings.speed().mixingSlowdown();
    }

    private double wholeWork(double prefillOver, double decodeOver) {
        double work = Math.max(0, prefillOver) + Math.max(0, decodeOver);
        return work * mixedWorkFactor();
    }

    private double served(KindDemand demand, double prefill, double decode, double whole) {
        double wanted = demand.requestsPerSecond();
        if (need(demand, wanted, prefill, decode) <= whole) {
            return wanted;
        }
        double prefillLimit = demand.prefillSeconds() > 0 ? prefill / demand.prefillSeconds() : wanted;
        double decodeLimit = demand.decodeSeconds() > 0 ? decode / demand.decodeSeconds() : wanted;
        double low = Math.min(prefillLimit, decodeLimit);
        double high = Math.max(prefillLimit, decodeLimit);
        double slowing = mixedWorkFactor();
        double needAtHigh = need(demand, high, prefill, decode);
        if (needAtHigh >= whole) {
            double slope = (prefillLimit < decodeLimit ? demand.prefillSeconds() : demand.decodeSeconds()) * slowing;
            return slope > 0 ? Math.min(wanted, low + whole / slope) : wanted;
        }
        double slope = (demand.prefillSeconds() + demand.decodeSeconds()) * slowing;
        return Math.min(wanted, high + (whole - needAtHigh) / slope);
    }

    private double need(KindDemand demand, double served, double prefill, double decode) {
        return wholeWork(served * demand.prefillSeconds() - prefill, served * demand.decodeSeconds() - decode);
    }
}
