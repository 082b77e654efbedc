package org.aspenmoor.internal.serving;

import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.dissemination.StableHash;
import org.aspenmoor.internal.engine.EngineRole;

/** What one prompt costs at each of the engines that may take it, given what they keep of it. */
final class PromptCosts {
    /** Shorter parts are computed about as fast as a transfer is set up. */
    private static final int LEAST_FETCHED_TOKENS = 1024;

    /** Transfers between data centres take twice as long. */
    private static final double REMOTE_TRANSFER_FACTOR = 2;

    /**
     * Added where a prompt that no engine keeps is computed away from its home, in seconds: entries that meet the same new
     * prompt at the same moment should not compute it at two engines.
     */
    private static final double AWAY_SECONDS = 0.02;

    private static final double PAIRS_OF_MEGAPAIR = 1e6;

    private final PlacementSettings settings;
    private final Prompt prompt;
    private final boolean paced;
    private final ServerBelief home;
    private final Optional<HeldPrompt> held;

    /**
     * Makes the costs of a prompt at engines, of which there is one at least.
     *
     * @param paced whether entries keep the engines' queues short, so that their own speed is what counts
     */
    PromptCosts(PlacementSettings settings, Prompt prompt, List<ServerBelief> engines, boolean paced, long now) {
        this.settings = settings;
        this.prompt = prompt;
        this.paced = paced;
        this.home = home(engines);
        this.held = held(engines, now);
    }

    /**
     * Returns what an engine has to do for the prompt. Parts that it lacks are fetched from an engine that keeps them:
     * moving them takes milliseconds, computing them again a tenth of a second and more.
     */
    PromptWork at(ServerBelief engine) {
        int believed = engine.cache().cachedTokens(prompt);
        double away = believed > 0 || engine.equals(home) ? 0 : AWAY_SECONDS;
        int fetched = held.map(HeldPrompt::tokens).orElse(0) - believed;
        if (fetched < LEAST_FETCHED_TOKENS) {
            return new PromptWork(computeSeconds(engine, believed) + away, Optional.empty());
        }
        ServerBelief holder = held.orElseThrow().holder();
        double fetch = transferSeconds(settings, fetched, holder.server().dataCentre(), engine);
        double compute = computeSeconds(engine, believed + fetched);
        return new PromptWork(fetch + compute, Optional.of(holder.server()));
    }

    /** Returns how long moving the cache of so many tokens to an engine takes. */
    static double transferSeconds(PlacementSettings settings, int tokens, String from, ServerBelief to) {
        double factor = to.server().dataCentre().equals(from) ? 1 : REMOTE_TRANSFER_FACTOR;
        return factor * settings.speed().handOverSeconds(tokens);
    }

    /** Returns the engine that keeps most of the prompt. */
    private Optional<HeldPrompt> held(List<ServerBelief> engines, long now) {
        HeldPrompt most = null;
        for (ServerBelief engine : engines) {
            int tokens = engine.cache().fetchableTokens(prompt, now);
            if (tokens > 0 && (most == null || tokens > most.tokens())) {
                most = new HeldPrompt(engine, tokens);
            }
        }
        return Optional.ofNullable(most);
    }

    private double computeSeconds(ServerBelief engine, int cached) {
        double computed = prompt.promptTokens() - cached;
        double megapairs = computed * (cached + computed / 2) / PAIRS_OF_MEGAPAIR;
        double seconds = settings.speed().prefillSeconds(computed) + megapairs * settings.secondsPerMegapair();
        return seconds * Pacing.slowness(engine, paced) / prefillShare(engine.server());
    }

    private double prefillShare(BackendServer server) {
        return server.role() == EngineRole.DECODE ? settings.ownPromptShare() : 1;
    }

    /** Weighted rendezvous hashing: each engine draws a number that depends only on it and the prompt. */
    private ServerBelief home(List<ServerBelief> engines) {
        String shared = prompt.sharedIdentity();
        ServerBelief drawnBest = engines.getFirst();
        double best = Double.NEGATIVE_INFINITY;
        for (ServerBelief engine : engines) {
            long hash = StableHash.of(shared, engine.server().id());
            double drawn = ((hash >>> 11) + 0.5) * 0x1.0p-53;
            double score = -prefillShare(engine.server()) / Math.log(drawn);
            if (score > best) {
                best = score;
                drawnBest = engine;
            }
        }
        return drawnBest;
    }

    /**
     * What an engine has to do for a prompt.
     *
     * @param seconds how long that takes
     * @param holder the engine to fetch a part of it from
     */
    record PromptWork(double seconds, Optional<BackendServer> holder) {}

    private record HeldPrompt(ServerBelief holder, int tokens) {}
}
