package org.aspenmoor.internal.serving;

import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.dissemination.StableHash;
import org.aspenmoor.internal.engine.EngineRole;

/** The cost of one prompt on each of the candidate engines, given what they have cached of it. */
final class PromptCosts {
    /** Computing fewer tokens takes about as long as setting up a transfer. */
    private static final int MIN_TRANSFER_TOKENS = 1024;

    /** Transfers between data centres take twice as long. */
    private static final double REMOTE_TRANSFER_FACTOR = 2;

    /**
     * Penalty in seconds for computing a prompt that no engine has cached on an engine other than its preferred one.
     * Entries that receive the same new prompt at the same moment should not compute it on two engines.
     */
    private static final double NOT_PREFERRED_PENALTY_SECONDS = 0.02;

    private static final double PAIRS_PER_MEGAPAIR = 1e6;

    private final PlacementSettings settings;
    private final Prompt prompt;
    private final boolean queuedAtEntry;
    private final long now;
    private final ServerEstimate preferredEngine;
    private final Optional<CachedPrefix> longestCachedPrefix;

    /**
     * Creates the costs of a prompt.
     *
     * @param engines the candidate engines, at least one
     * @param queuedAtEntry whether entries keep the engines' queues short, so that only the engines' own speed counts
     */
    PromptCosts(
            PlacementSettings settings, Prompt prompt, List<ServerEstimate> engines, boolean queuedAtEntry, long now) {
        this.settings = settings;
        this.prompt = prompt;
        this.queuedAtEntry = queuedAtEntry;
        this.now = now;
        this.preferredEngine = preferredEngine(engines);
        this.longestCachedPrefix = longestCachedPrefix(engines);
    }

    /**
     * Returns the work of an engine for the prompt. Parts that it lacks are transferred from an engine that has them
     * cached: a transfer takes milliseconds, computing the parts again a tenth of a second or more.
     */
    EngineWork workAt(ServerEstimate engine) {
        int cached = engine.cache().cachedTokens(prompt);
        double penaltySeconds = cached > 0 || engine.equals(preferredEngine) ? 0 : NOT_PREFERRED_PENALTY_SECONDS;
        int transferred = longestCachedPrefix.map(CachedPrefix::tokens).orElse(0) - cached;
        if (transferred < MIN_TRANSFER_TOKENS) {
            return new EngineWork(computeSeconds(engine, cached) + penaltySeconds, Optional.empty());
        }
        ServerEstimate holder = longestCachedPrefix.orElseThrow().holder();
        double transferSeconds =
                transferSeconds(settings, transferred, holder.server().dataCentre(), engine);
        double computeSeconds = computeSeconds(engine, cached + transferred);
        return new EngineWork(transferSeconds + computeSeconds, Optional.of(holder.server()));
    }

    /** Returns how long it takes to transfer the cache of the given number of tokens to an engine, in seconds. */
    static double transferSeconds(
            PlacementSettings settings, int tokens, String sourceDataCentre, ServerEstimate target) {
        double factor = target.server().dataCentre().equals(sourceDataCentre) ? 1 : REMOTE_TRANSFER_FACTOR;
        return factor * settings.engineSpeed().handoffSeconds(tokens);
    }

    /** Returns the engine that has the longest prefix of the prompt cached. */
    private Optional<CachedPrefix> longestCachedPrefix(List<ServerEstimate> engines) {
        CachedPrefix longest = null;
        for (ServerEstimate engine : engines) {
            int tokens = engine.cache().transferableTokens(prompt, now);
            if (tokens > 0 && (longest == null || tokens > longest.tokens())) {
                longest = new CachedPrefix(engine, tokens);
            }
        }
        return Optional.ofNullable(longest);
    }

    private double computeSeconds(ServerEstimate engine, int cached) {
        double computed = prompt.promptTokens() - cached;
        double megapairs = computed * (cached + computed / 2) / PAIRS_PER_MEGAPAIR;
        double seconds =
                settings.engineSpeed().prefillSeconds(computed) + megapairs * settings.attentionSecondsPerMegapair();
        return seconds * EntryQueueing.slowdown(engine, queuedAtEntry, now) / prefillRateFraction(engine.server());
    }

    private double prefillRateFraction(BackendServer server) {
        return server.role() == EngineRole.DECODE ? settings.decodePrefillFraction() : 1;
    }

    /**
     * Returns the preferred engine by weighted rendezvous hashing: each engine gets a pseudo-random number that depends
     * only on the engine and the prompt's shared prefix, and the highest score after weighting with the prefill rates
     * wins.
     */
    private ServerEstimate preferredEngine(List<ServerEstimate> engines) {
        String prefix = prompt.sharedPrefixIdentity();
        ServerEstimate preferred = engines.getFirst();
        double bestScore = Double.NEGATIVE_INFINITY;
        for (ServerEstimate engine : engines) {
            long hash = StableHash.of(prefix, engine.server().id());
            double uniform = ((hash >>> 11) + 0.5) * 0x1.0p-53;
            double score = -prefillRateFraction(engine.server()) / Math.log(uniform);
            if (score > bestScore) {
                bestScore = score;
                preferred = engine;
            }
        }
        return preferred;
    }

    /**
     * The work of an engine for a prompt.
     *
     * @param seconds how long the work takes, plus {@link #NOT_PREFERRED_PENALTY_SECONDS} where it applies
     * @param cacheHolder the engine to transfer a part of the prompt's cache from; empty if nothing is transferred
     */
    record EngineWork(double seconds, Optional<BackendServer> cacheHolder) {}

    private record CachedPrefix(ServerEstimate holder, int tokens) {}
}
