package org.aspenmoor.internal.routing;

import org.aspenmoor.internal.engine.EngineRole;

/** Estimates how long an engine will take over a request, from what the router believes about it. */
final class StageEstimator {
    private static final double HARM_SHARE = 0.05;
    private static final double RESERVED_SHARE = 0.1;

    private final RouterSettings settings;
    private final EngineSpeed speed;
    private final PrefixIndex prefixes;
    private final HeaviestWeight heaviest;

    StageEstimator(RouterSettings settings, PrefixIndex prefixes, HeaviestWeight heaviest) {
        this.settings = settings;
        this.speed = settings.speed();
        this.prefixes = prefixes;
        this.heaviest = heaviest;
    }

    /** Both stages on one engine. */
    StageEstimate whole(EngineView engine, RoutingRequest request, long now) {
        StageEstimate prefill = prefill(engine, request, now);
        double slot = slotSeconds(engine, request, now);
        double answer = answerSeconds(engine, request, now);
        return new StageEstimate(
                engine,
                prefill.waitSeconds() + slot,
                prefill.promptSeconds() + slot,
                answer,
                prefill.cachedTokens(),
                prefill.harmSeconds());
    }

    /** Only computing the prompt. */
    StageEstimate prefill(EngineView engine, RoutingRequest request, long now) {
        int cached = cachedTokens(engine, request);
        double rate = engine.prefillTokensPerSecond();
        double wait = extraSeconds(engine, request) + engine.backlogTokens(now) / rate;
        double prompt = (request.promptTokens() - cached) / rate;
        return new StageEstimate(
                engine, wait, wait + prompt, 0, cached, harmSeconds(engine, request.promptTokens() - cached, now));
    }

    /** Only generating the answer, after the cache was handed over. */
    StageEstimate decode(EngineView engine, RoutingRequest request, long now) {
        double wait = extraSeconds(engine, request) + slotSeconds(engine, request, now);
        double handOver = speed.handOverSeconds(request.promptTokens());
        return new StageEstimate(engine, wait, 0, wait + handOver + answerSeconds(engine, request, now), 0, 0);
    }

    /** A chunk of the prompt delays every running answer; an answer has some slack, so only a part of that counts. */
    private double harmSeconds(EngineView engine, double tokens, long now) {
        if (engine.role() == EngineRole.PREFILL) {
            return 0;
        }
        return HARM_SHARE * engine.sequences(now) * speed.prefillSeconds(tokens);
    }

    private int cachedTokens(EngineView engine, RoutingRequest request) {
        int cached = prefixes.cachedTokens(engine.name(), request.prefix(), settings.pieceTokens());
        return Math.min(cached, request.promptTokens());
    }

    /** Decode steps at the batch the engine has; those that fall together with a prompt chunk take longer. */
    private double answerSeconds(EngineView engine, RoutingRequest request, long now) {
        double sequences =
                Math.min(engine.sequences(now) + 1, Math.max(1, engine.load().maxSequences()));
        double steps = request.expectedOutputTokens() * speed.stepSeconds(sequences);
        if (engine.role() != EngineRole.WHOLE) {
            return steps;
        }
        double chunkSeconds = speed.prefillSeconds(speed.chunkTokens()) * (1 + speed.mixingSlowdown());
        double chunksWaiting = engine.backlogTokens(now) / speed.chunkTokens();
        return steps + Math.min(chunksWaiting, request.expectedOutputTokens()) * chunkSeconds;
    }

    /**
     * The wait for a place in the batch: places free up evenly while the batch generates.
     *
     * <p>The last places of a batch are left to the heaviest work: an engine whose batch is full of long light answers
     * would keep a heavy request waiting for seconds, though it goes first.
     */
    private double slotSeconds(EngineView engine, RoutingRequest request, long now) {
        int most = Math.max(1, engine.load().maxSequences());
        double open = request.weight() < heaviest.weight() ? most * (1 - RESERVED_SHARE) : most;
        double tooMany = engine.sequences(now) + 1 - Math.max(1, open);
        if (tooMany <= 0) {
            return 0;
        }
        return tooMany * request.expectedOutputTokens() * speed.stepSeconds(most) / most;
    }

    private double extraSeconds(EngineView engine, RoutingRequest request) {
        double distance = engine.dataCentre().equals(request.dataCentre()) ? 0 : settings.remoteSeconds();
        boolean adapterMissing = request.adapter().isPresent()
                && !engine.loaded().contains(request.adapter().get());
        return distance + (adapterMissing ? settings.adapterLoadSeconds() : 0);
    }
}
