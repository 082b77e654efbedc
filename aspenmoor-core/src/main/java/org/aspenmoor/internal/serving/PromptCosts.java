package org.aspenmoor.internal.serving;

import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.dissemination.StableHash;
import org.aspenmoor.internal.engine.EngineRole;

/** What one prompt costs at each of the engines that may take it, given what they keep of it. */
final class PromptCosts {
    /** Shorter parts are computed about as fast as a transfer is set up. */
    private static final int MIN_TRANSFER_TOKENS = 1024;

    /** Transfers between data centres take twice as long. */
    private static final double REMOTE_TRANSFER_FACTOR = 2;

    /**
     * Added where a prompt that no engine keeps is computed away from its home, in seconds: entries that meet the same new
     * prompt at the same moment should not compute it at two engines.
     */
    private static final double NOT_PREFERRED_SECONDS = 0.02;

    private static final double PAIRS_PER_MEGAPAIR = 1e6;

    private final PlacementSettings settings;
    private final Prompt prompt;
    private final boolean queuedAtEntry;
    private final ServerEstimate preferredEngine;
    private final Optional<CachedPrefix> longestCachedPrefix;

    /**
     * Makes the costs of a prompt at engines, of which there is one at least.
     *
     * @param paced whether entries keep the engines' queues short, so that their own speed is what counts
     */
    PromptCosts(PlacementSettings settings, Prompt prompt, List<ServerEstimate> engines, boolean queuedAtEntry, long now) {
        this.settings = settings;
        this.prompt = prompt;
        this.queuedAtEntry = queuedAtEntry;
        this.preferredEngine = preferredEngine(engines);
        this.longestCachedPrefix = longestCachedPrefix(engines, now);
    }

    /**
     * Returns what an engine has to do for the prompt. Parts that it lacks are fetched from an engine that keeps them:
     * moving them takes milliseconds, computing them again a tenth of a second and more.
     */
    EngineWork workAt(ServerEstimate engine) {
        int cached = engine.cache().cachedTokens(prompt);
        double penaltySeconds = cached > 0 || engine.equals(preferredEngine) ? 0 : NOT_PREFERRED_SECONDS;
        int transferred = longestCachedPrefix.map(CachedPrefix::tokens).orElse(0) - cached;
        if (transferred < MIN_TRANSFER_TOKENS) {
            return new EngineWork(computeSeconds(engine, cached) + penaltySeconds, Optional.empty());
        }
        ServerEstimate holder = longestCachedPrefix.orElseThrow().holder();
        double transferSeconds = transferSeconds(settings, transferred, holder.server().dataCentre(), engine);
        double computeSeconds = computeSeconds(engine, cached + transferred);
        return new EngineWork(transferSeconds + computeSeconds, Optional.of(holder.server()));
    }

    /** Returns how long moving the cache of so many tokens to an engine takes. */
    static double transferSeconds(PlacementSettings settings, int tokens, String sourceDataCentre, ServerEstimate to) {
        double factor = to.server().dataCentre().equals(sourceDataCentre) ? 1 : REMOTE_TRANSFER_FACTOR;
        return factor * settings.engineSpeed().handOverSeconds(tokens);
    }

    /** Returns the engine that keeps most of the prompt. */
    private Optional<CachedPrefix> longestCachedPrefix(List<ServerEstimate> engines, long now) {
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
        double seconds = settings.engineSpeed().prefillSeconds(computed) + megapairs * settings.attentionSecondsPerMegapair();
        return seconds * EntryQueueing.slowdown(engine, queuedAtEntry) / prefillRateFraction(engine.server());
    }

    private double prefillRateFraction(BackendServer server) {
        return server.role() == EngineRole.DECODE ? settings.decodePrefillFraction() : 1;
    }

    /** Weighted rendezvous hashing: each engine draws a number that depends only on it and the prompt. */
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
     * What an engine has to do for a prompt.
     *
     * @param seconds how long that takes
     * @param holder the engine to fetch a part of it from
     */
    record EngineWork(double seconds, Optional<BackendServer> cacheHolder) {}

    private record CachedPrefix(ServerEstimate holder, int tokens) {}
}
