package org.aspenmoor.internal.bench.policy.strategy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.engine.EngineLoad;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.routing.CacheEvent;
import org.aspenmoor.internal.routing.CandidateFilter;
import org.aspenmoor.internal.routing.EngineSpeed;
import org.aspenmoor.internal.routing.RoutingDecision;
import org.aspenmoor.internal.routing.RoutingRequest;

/**
 * Baseline routing by round robin or by the least reported load. Neither takes its own sends or cached prefixes into
 * account.
 *
 * <p>Both use separate prefill and decode engines where both roles exist. They estimate times from the last load report
 * only, so that admission is based on the same information as routing.
 */
public final class BaselineRouting implements RoutingStrategy {
    private final boolean byLeastLoad;
    private final EngineSpeed speed;
    private final Map<String, Reported> engines = new LinkedHashMap<>();
    private int decisionCount;

    /** Creates routing by the least reported load, or by round robin. */
    public BaselineRouting(boolean byLeastLoad, EngineSpeed speed) {
        this.byLeastLoad = byLeastLoad;
        this.speed = speed;
    }

    @Override
    public void engineAdded(String engine, String dataCentre) {
        engines.put(engine, new Reported(EngineRole.WHOLE, false, new EngineLoad(0, 0, 0, 1, 0, 0)));
    }

    @Override
    public void loadReported(
            String engine,
            EngineLoad load,
            EngineRole role,
            boolean ready,
            Set<String> loadedModels,
            double ageSeconds,
            long now) {
        engines.put(engine, new Reported(role, ready, load));
    }

    @Override
    public void cacheEventReceived(String engine, long sequence, CacheEvent event) {
        // The baselines do not take prefixes into account.
    }

    @Override
    public Optional<RoutingDecision> choose(RoutingRequest request, CandidateFilter filter, long now) {
        decisionCount++;
        Optional<String> prefill = chooseEngine(EngineRole.PREFILL, filter);
        Optional<String> decode = chooseEngine(EngineRole.DECODE, filter);
        Optional<String> whole = chooseEngine(EngineRole.WHOLE, filter);
        boolean usePair = prefill.isPresent() && decode.isPresent();
        if (usePair && whole.isPresent()) {
            long wholeEngines = engines.values().stream()
                    .filter(engine -> engine.role() == EngineRole.WHOLE)
                    .count();
            usePair = decisionCount % engines.size() >= wholeEngines;
        }
        if (usePair) {
            return Optional.of(decision(request, decode.get(), prefill));
        }
        return whole.map(engine -> decision(request, engine, Optional.empty()));
    }

    @Override
    public void requestSent(RoutingRequest request, RoutingDecision decision, long now) {
        // The baselines do not take their own sends into account.
    }

    @Override
    public void requestEnded(RequestId id, long now) {
        // The baselines do not take their own sends into account.
    }

    private Optional<String> chooseEngine(EngineRole role, CandidateFilter filter) {
        List<String> candidates = engines.entrySet().stream()
                .filter(entry -> entry.getValue().ready() && entry.getValue().role() == role)
                .map(Map.Entry::getKey)
                .filter(filter::accepts)
                .toList();
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        if (!byLeastLoad) {
            return Optional.of(candidates.get(decisionCount % candidates.size()));
        }
        return candidates.stream()
                .min((one, other) -> Double.compare(loadSeconds(engines.get(one)), loadSeconds(engines.get(other))));
    }

    private double loadSeconds(Reported engine) {
        EngineLoad load = engine.load();
        return speed.prefillSeconds((double) load.queuedPrefillTokens())
                + (double) load.runningSequences() / Math.max(1, load.maxSequences());
    }

    private RoutingDecision decision(RoutingRequest request, String decodeEngine, Optional<String> prefillEngine) {
        EngineLoad prefillLoad = engines.get(prefillEngine.orElse(decodeEngine)).load();
        EngineLoad decodeLoad = engines.get(decodeEngine).load();
        double waitSeconds = speed.prefillSeconds((double) prefillLoad.queuedPrefillTokens());
        double firstTokenSeconds = waitSeconds + speed.prefillSeconds(request.promptTokens());
        double finishSeconds = firstTokenSeconds
                + request.expectedOutputTokens() * speed.stepSeconds(decodeLoad.runningSequences() + 1);
        return new RoutingDecision(
                decodeEngine, prefillEngine, 0, waitSeconds, firstTokenSeconds, finishSeconds, OptionalDouble.empty());
    }

    private record Reported(EngineRole role, boolean ready, EngineLoad load) {}
}
