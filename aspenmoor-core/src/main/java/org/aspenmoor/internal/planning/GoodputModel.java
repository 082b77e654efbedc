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

    /** Returns the weighted goodput a second; the demand must be sorted by falling weight. */
    public double perSecond(RoleSplit split, List<KindDemand> demands) {
        double prefill = split.prefill() * settings.utilisation();
        double decode = split.decode() * settings.utilisation();
        double whole = split.whole() * settings.utilisation();
        double goodput = 0;
        for (KindDemand demand : demands) {
            double served = served(demand, prefill, decode, whole);
            double prefillWork = served * demand.prefillSeconds();
            double decodeWork = served * demand.decodeSeconds();
            whole = Math.max(0, whole - wholeWork(prefillWork - prefill, decodeWork - decode));
            prefill = Math.max(0, prefill - prefillWork);
            decode = Math.max(0, decode - decodeWork);
            goodput += served * demand.weight();
        }
        return goodput;
    }

    private double wholeWork(double prefillOver, double decodeOver) {
        double work = Math.max(0, prefillOver) + Math.max(0, decodeOver);
        return work * (1 + settings.speed().mixingSlowdown());
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
        double slowing = 1 + settings.speed().mixingSlowdown();
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
