package org.aspenmoor.internal.routing;

import org.aspenmoor.internal.engine.EngineRole;

/** Estimates the duration of requests on an engine from its {@link EngineView}. */
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

    /** Returns the estimate for prefill and decode on one engine. */
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

    /** Returns the estimate for prefill only. */
    StageEstimate prefill(EngineView engine, RoutingRequest request, long now) {
        int cached = cachedTokens(engine, request);
        double rate = engine.prefillTokensPerSecond();
        double wait = overheadSeconds(engine, request) + engine.backlogTokens(now) / rate;
        double computeSeconds = (request.promptTokens() - cached) / rate;
        return new StageEstimate(
                engine,
                wait,
                wait + computeSeconds,
                0,
                cached,
                interferenceSeconds(engine, request.promptTokens() - cached, now));
    }

    /** Returns the estimate for decode only, after the handoff of the cache. */
    StageEstimate decode(EngineView engine, RoutingRequest request, long now) {
        double wait = overheadSeconds(engine, request) + slotWaitSeconds(engine, request, now);
        double handoff = speed.handoffSeconds(request.promptTokens());
        return new StageEstimate(engine, wait, 0, wait + handoff + answerSeconds(engine, request, now), 0, 0);
    }

    /**
     * Returns the weighted delay of the running sequences: each prefill chunk delays all of them, but their deadlines
     * leave slack, so only a part of the delay counts.
     */
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

    /**
     * Returns the duration of decode with the present batch; steps that run together with a prefill chunk take
     * longer.
     */
    private double answerSeconds(EngineView engine, RoutingRequest request, long now) {
        double sequences =
                Math.min(engine.sequences(now) + 1, Math.max(1, engine.load().maxSequences()));
        double steps = request.expectedOutputTokens() * speed.stepSeconds(sequences);
        if (engine.role() != EngineRole.WHOLE) {
            return steps;
        }
        double chunkSeconds = speed.prefillSeconds(speed.chunkTokens()) * (1 + speed.mixingSlowdown());
        double queuedChunks = engine.backlogTokens(now) / speed.chunkTokens();
        return steps + Math.min(queuedChunks, request.expectedOutputTokens()) * chunkSeconds;
    }

    /**
     * Returns the expected wait for a slot in the batch, assuming that slots become free at an even rate.
     *
     * <p>The last slots of a batch are reserved for requests with the greatest recent weight. Otherwise such a request
     * would wait for seconds at an engine whose batch is full of long answers of lower weight, although it goes first.
     */
    private double slotWaitSeconds(EngineView engine, RoutingRequest request, long now) {
        int maxSequences = Math.max(1, engine.load().maxSequences());
        double availableSlots = request.weight() < maxRecentWeight.weight()
                ? maxSequences * (1 - RESERVED_SLOT_FRACTION)
                : maxSequences;
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
