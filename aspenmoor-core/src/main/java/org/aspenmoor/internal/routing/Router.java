package org.aspenmoor.internal.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.engine.EngineLoad;
import org.aspenmoor.internal.engine.EngineRole;

/**
 * Chooses the engine or the pair of engines that serves a request. Not thread-safe; confined to one thread.
 *
 * <p>A decision compares a random sample of engines and the engines that probably cache the prefix of the prompt. If
 * all engines were compared, all entries with the same outdated report would choose the same engine, which would
 * receive a burst after each report. The sample also makes the cost of a decision independent of the fleet size.
 */
public final class Router {
    private static final int DRAWS_PER_CANDIDATE = 4;

    private final RouterSettings settings;
    private final RandomGenerator random;
    private final PrefixIndex prefixes;
    private final MaxRecentWeight maxRecentWeight = new MaxRecentWeight();
    private final StageEstimator estimator;
    private final Map<String, EngineView> engines = new LinkedHashMap<>();
    private final Map<PoolKey, EnginePool> pools = new HashMap<>();
    private final Map<RequestId, OutstandingRequest> outstanding = new HashMap<>();

    // Candidates of the current decision. The lists are reused because a new list for each decision was the largest
    // part of the memory that a decision allocated.
    private final List<EngineView> combinedEngines = new ArrayList<>();
    private final List<EngineView> prefillEngines = new ArrayList<>();
    private final List<EngineView> decodeEngines = new ArrayList<>();

    public Router(RouterSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
        this.prefixes = new PrefixIndex(settings.maxIndexedBlocks());
        this.estimator = new StageEstimator(settings, prefixes, maxRecentWeight);
    }

    /** Adds an engine. It can be chosen once it has reported that it is ready. */
    public void addEngine(String engineName, String dataCentre) {
        engines.computeIfAbsent(engineName, name -> new EngineView(name, dataCentre, settings.speed()));
    }

    /** Removes an engine. */
    public void removeEngine(String engineName) {
        EngineView engine = engines.remove(engineName);
        if (engine != null) {
            removeFromPools(engine);
            prefixes.removeEngine(engineName);
        }
    }

    /** Applies the load report of an engine, measured {@code age} ago; ignored if the engine is not known. */
    public void applyReport(
            String engineName,
            EngineLoad load,
            EngineRole role,
            boolean ready,
            Set<String> loaded,
            Duration age,
            long nowNanoseconds) {
        EngineView engine = engines.get(engineName);
        if (engine == null) {
            return;
        }
        boolean samePools = engine.ready() == ready
                && engine.role() == role
                && engine.loaded().equals(loaded);
        if (samePools) {
            engine.applyReport(load, role, ready, loaded, nowNanoseconds - age.toNanos());
            return;
        }
        removeFromPools(engine);
        engine.applyReport(load, role, ready, loaded, nowNanoseconds - age.toNanos());
        addToPools(engine);
    }

    /** Applies a cache event; returns whether events before it were missed and a snapshot should be requested. */
    public boolean applyCacheEvent(String engineName, long sequence, CacheEvent event) {
        return engines.containsKey(engineName) && prefixes.apply(engineName, sequence, event);
    }

    /**
     * Chooses the accepted engine, or pair of engines, with the lowest score, which is the expected finish plus the
     * delay caused to running requests. An engine that serves both prefill and decode may also take one stage of a
     * pair.
     */
    public Optional<RoutingDecision> choose(RoutingRequest request, CandidateFilter filter, long nowNanoseconds) {
        maxRecentWeight.observe(request.weight(), nowNanoseconds);
        findCandidates(request, EngineRole.WHOLE, filter, combinedEngines);
        findCandidates(request, EngineRole.PREFILL, filter, prefillEngines);
        findCandidates(request, EngineRole.DECODE, filter, decodeEngines);
        StageEstimate combined = null;
        StageEstimate prefill = null;
        StageEstimate decode = null;
        for (EngineView engine : combinedEngines) {
            combined = better(combined, estimator.combined(engine, request, nowNanoseconds));
            prefill = decodeEngines.isEmpty()
                    ? prefill
                    : better(prefill, estimator.prefill(engine, request, nowNanoseconds));
            decode = prefillEngines.isEmpty()
                    ? decode
                    : better(decode, estimator.decode(engine, request, nowNanoseconds));
        }
        for (EngineView engine : prefillEngines) {
            prefill = better(prefill, estimator.prefill(engine, request, nowNanoseconds));
        }
        for (EngineView engine : decodeEngines) {
            decode = better(decode, estimator.decode(engine, request, nowNanoseconds));
        }
        return DisaggregationPolicy.decide(
                Optional.ofNullable(combined), Optional.ofNullable(prefill), Optional.ofNullable(decode));
    }

    private static StageEstimate better(StageEstimate best, StageEstimate other) {
        return best == null || other.score() < best.score() ? other : best;
    }

    /** Records that the request was sent as decided. */
    public void recordSent(RoutingRequest request, RoutingDecision decision, long nowNanoseconds) {
        int uncachedTokens = request.promptTokens() - decision.cachedTokens();
        EngineView prefillEngine = engines.get(decision.engineForPrefill());
        if (prefillEngine != null) {
            prefillEngine.addLocalChange(new LocalLoadChange(
                    nowNanoseconds, uncachedTokens, decision.prefillEngine().isPresent() ? 0 : 1));
            prefixes.recordSent(prefillEngine.name(), request.prefix());
        }
        EngineView decodeEngine = engines.get(decision.engine());
        if (decodeEngine != null && decision.prefillEngine().isPresent()) {
            decodeEngine.addLocalChange(new LocalLoadChange(nowNanoseconds, 0, 1));
        }
        outstanding.put(request.id(), new OutstandingRequest(decision.engine()));
    }

    /** Records that the request has ended, with any outcome. */
    public void recordEnded(RequestId id, long nowNanoseconds) {
        OutstandingRequest request = outstanding.remove(id);
        if (request == null) {
            return;
        }
        EngineView engine = engines.get(request.engine());
        if (engine != null) {
            engine.addLocalChange(new LocalLoadChange(nowNanoseconds, 0, -1));
        }
    }

    /** Returns the number of requests that were sent and have not ended. */
    public int outstandingRequests() {
        return outstanding.size();
    }

    private void findCandidates(
            RoutingRequest request, EngineRole role, CandidateFilter filter, List<EngineView> candidates) {
        candidates.clear();
        if (role != EngineRole.DECODE) {
            for (String holder : prefixes.holders(request.prefix())) {
                EngineView engine = engines.get(holder);
                if (engine != null && isUsable(engine, request, role) && filter.accepts(holder)) {
                    candidates.add(engine);
                }
            }
        }
        request.adapter().ifPresent(adapter -> sampleCandidates(new PoolKey(adapter, role), filter, candidates));
        sampleCandidates(new PoolKey(request.model(), role), filter, candidates);
    }

    private void sampleCandidates(PoolKey key, CandidateFilter filter, List<EngineView> candidates) {
        EnginePool pool = pools.get(key);
        if (pool == null) {
            return;
        }
        int sampleSize = Math.min(settings.sampledCandidates(), pool.size());
        int accepted = 0;
        for (int draws = 0; draws < sampleSize * DRAWS_PER_CANDIDATE && accepted < sampleSize; draws++) {
            EngineView engine = pool.get(random.nextInt(pool.size()));
            if (!candidates.contains(engine) && filter.accepts(engine.name())) {
                candidates.add(engine);
                accepted++;
            }
        }
        if (candidates.isEmpty()) {
            addFirstAccepted(pool, filter, candidates);
        }
    }

    /** Adds the first engine that the filter accepts, starting at a random position. */
    private void addFirstAccepted(EnginePool pool, CandidateFilter filter, List<EngineView> candidates) {
        if (pool.size() == 0) {
            return;
        }
        int start = random.nextInt(pool.size());
        for (int step = 0; step < pool.size(); step++) {
            EngineView engine = pool.get((start + step) % pool.size());
            if (filter.accepts(engine.name())) {
                candidates.add(engine);
                return;
            }
        }
    }

    private static boolean isUsable(EngineView engine, RoutingRequest request, EngineRole role) {
        return engine.ready() && engine.role() == role && engine.loaded().contains(request.model());
    }

    private void addToPools(EngineView engine) {
        if (!engine.ready()) {
            return;
        }
        for (String name : engine.loaded()) {
            pools.computeIfAbsent(new PoolKey(name, engine.role()), key -> new EnginePool())
                    .add(engine);
        }
    }

    private void removeFromPools(EngineView engine) {
        for (String name : engine.loaded()) {
            EnginePool pool = pools.get(new PoolKey(name, engine.role()));
            if (pool != null) {
                pool.remove(engine);
            }
        }
    }
}
