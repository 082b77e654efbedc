package org.aspenmoor.internal.routing;

/** Estimates how long an engine will take over a request, from what the router believes about it. */
final class StageEstimator {
    private final RouterSettings settings;
    private final EngineSpeed speed;
    private final PrefixIndex prefixes;

    StageEstimator(RouterSettings settings, PrefixIndex prefixes) {
        this.settings = settings;
        this.speed = settings.speed();
        this.prefixes = prefixes;
    }

    /** Both stages on one engine. */
    StageEstimate whole(EngineView engine, RoutingRequest request, long now) {
        int cached = cachedTokens(engine, request);
        double backlog = speed.prefillSeconds(engine.backlogTokens(now));
        double mixing = engine.sequences() > 0 ? 1 + speed.mixingSlowdown() : 1;
        double prompt = speed.prefillSeconds(request.promptTokens() - cached);
        double wait = extraSeconds(engine, request) + backlog * mixing + slotSeconds(engine, request);
        double answer = answerSeconds(engine, request) + prompt * speed.mixingSlowdown() + backlog;
        return new StageEstimate(engine, wait, wait + prompt * mixing, answer, cached);
    }

    /** Only computing the prompt. */
    StageEstimate prefill(EngineView engine, RoutingRequest request, long now) {
        int cached = cachedTokens(engine, request);
        double wait = extraSeconds(engine, request) + speed.prefillSeconds(engine.backlogTokens(now));
        double prompt = speed.prefillSeconds(request.promptTokens() - cached);
        return new StageEstimate(engine, wait, wait + prompt, 0, cached);
    }

    /** Only generating the answer, after the cache was handed over. */
    StageEstimate decode(EngineView engine, RoutingRequest request) {
        double wait = extraSeconds(engine, request) + slotSeconds(engine, request);
        double handOver = speed.handOverSeconds(request.promptTokens());
        return new StageEstimate(engine, wait, 0, wait + handOver + answerSeconds(engine, request), 0);
    }

    private int cachedTokens(EngineView engine, RoutingRequest request) {
        int cached = prefixes.cachedTokens(engine.name(), request.prefix(), settings.pieceTokens());
        return Math.min(cached, request.promptTokens());
    }

    private double answerSeconds(EngineView engine, RoutingRequest request) {
        return request.expectedOutputTokens() * speed.stepSeconds(engine.sequences() + 1);
    }

    /** The wait for a place in the batch: places free up evenly while the batch generates. */
    private double slotSeconds(EngineView engine, RoutingRequest request) {
        int most = Math.max(1, engine.load().mostSequences());
        int tooMany = engine.sequences() + 1 - most;
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
