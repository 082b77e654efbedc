package org.aspenmoor.internal.routing;

import org.aspenmoor.internal.engine.EngineRole;

/** Estimates how long an engine will take over a request, from what the router believes about it. */
final class StageEstimator {
    private static final double INTERFERENCE_WEIGHT = 0.05;
    private static final double RESERVED_SLOT_FRACTION = 0.1;

    private final RouterSettings settings;
    private final EngineSpeed speed;
    private final PrefixIndex prefixes;
    private final MaxRecentWeight maxRecentWeight;

    StageEstimator(RouterSettings settings, PrefixIndex prefixes, MaxRecentWeight maxRecentWeight) {
        this.settings = settings;
        this.speed = settings.speed();
        this.prefixes = prefixes;
        this.maxRecentWeight = maxRecentWeight;
    }

    /** Both stages on one engine. */
    StageEstimate combined(EngineView engine, RoutingRequest request, long now) {
        StageEstimate prefill = prefill(engine, request, now);
        double slotWait = slotWaitSeconds(engine, request, now);
        double answer = answerSeconds(engine, request, now);
        return new StageEstimate(
                engine,
                prefill.waitSeconds() + slotWait,
                prefill.prefillFinishSeconds() + slotWait,
                answer,
                prefill.cachedTokens(),
                prefill.interferenceSeconds());
    }

    /** Only computing the prompt. */
    StageEstimate prefill(EngineView engine, RoutingRequest request, long now) {
        int cached = cachedTokens(engine, request);
        double rate = engine.prefillTokensPerSecond();
        double wait = overheadSeconds(engine, request) + engine.backlogTokens(now) / rate;
        double computeSeconds = (request.promptTokens() - cached) / rate;
        return new StageEstimate(
                engine, wait, wait + computeSeconds, 0, cached, interferenceSeconds(engine, request.promptTokens() - cached, now));
    }

    /** Only generating the answer, after the cache was handed over. */
    StageEstimate decode(EngineView engine, RoutingRequest request, long now) {
        double wait = overheadSeconds(engine, request) + slotWaitSeconds(engine, request, now);
        double handoff = speed.handoffSeconds(request.promptTokens());
        return new StageEstimate(engine, wait, 0, wait + handoff + answerSeconds(engine, request, now), 0, 0);
    }

    /** A chunk of the prompt delays every running answer; an answer has some slack, so only a part of that counts. */
    private double interferenceSeconds(EngineView engine, double tokens, long now) {
        if (engine.role() == EngineRole.PREFILL) {
            return 0;
        }
        return INTERFERENCE_WEIGHT * engine.sequences(now) * speed.prefillSeconds(tokens);
    }

    private int cachedTokens(EngineView engine, RoutingRequest request) {
        int cached = prefixes.cachedTokens(engine.name(), request.prefix(), settings.blockTokens());
        return Math.min(cached, request.promptTokens());
    }

    /** Decode steps at the batch the engine has; those that fall together with a prompt chunk take longer. */
    private double answerSeconds(EngineView engine, RoutingRequest request, long now) {
        double sequences =
                Math.min(engine.sequences(now) + 1, Math.max(1, engine.load().mostSequences()));
        double steps = request.expectedOutputTokens() * speed.stepSeconds(sequences);
        if (engine.role() != EngineRole.WHOLE) {
            return steps;
        }
        double chunkSeconds = speed.prefillSeconds(speed.chunkTokens()) * (1 + speed.mixingSlowdown());
        double queuedChunks = engine.backlogTokens(now) / speed.chunkTokens();
        return steps + Math.min(queuedChunks, request.expectedOutputTokens()) * chunkSeconds;
    }

    /**
     * The wait for a place in the batch: places free up evenly while the batch generates.
     *
     * <p>The last places of a batch are left to the heaviest work: an engine whose batch is full of long light answers
     * would keep a heavy request waiting for seconds, though it goes first.
     */
    private double slotWaitSeconds(EngineView engine, RoutingRequest request, long now) {
        int maxSequences = Math.max(1, engine.load().mostSequences());
        double availableSlots = request.weight() < maxRecentWeight.weight() ? maxSequences * (1 - RESERVED_SLOT_FRACTION) : maxSequences;
        double excessSequences = engine.sequences(now) + 1 - Math.max(1, availableSlots);
        if (excessSequences <= 0) {
            return 0;
        }
        return excessSequences * request.expectedOutputTokens() * speed.stepSeconds(maxSequences) / maxSequences;
    }

    private double overheadSeconds(EngineView engine, RoutingRequest request) {
        double remoteLatency = engine.dataCentre().equals(request.dataCentre()) ? 0 : settings.remoteLatencySeconds();
        boolean adapterMissing = request.adapter().isPresent()
                && !engine.loaded().contains(request.adapter().get());
        return remoteLatency + (adapterMissing ? settings.adapterLoadSeconds() : 0);
    }
}
