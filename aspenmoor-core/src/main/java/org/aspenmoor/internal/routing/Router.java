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
 * Chooses where a request runs. Confined to one thread.
 *
 * <p>A decision compares a few random engines and those believed to hold the prompt's prefix. Comparing all engines
 * would make every entry that has the same late report choose the same engine; one would notice it as bursts on one
 * engine after each report. The sample also keeps the cost of a decision independent of the size of the fleet.
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

    // Candidates of the decision being made; kept, since a list for each decision was most of what one allocated.
    private final List<EngineView> combinedEngines = new ArrayList<>();
    private final List<EngineView> prefillEngines = new ArrayList<>();
    private final List<EngineView> decodeEngines = new ArrayList<>();

    public Router(RouterSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
        this.prefixes = new PrefixIndex(settings.maxIndexedBlocks());
        this.estimator = new StageEstimator(settings, prefixes, maxRecentWeight);
    }

    /** Learns of an engine; it is chosen once it has reported that it is ready. */
    public void addEngine(String engineName, String dataCentre) {
        engines.computeIfAbsent(engineName, name -> new EngineView(name, dataCentre, settings.speed()));
    }

    /** Forgets an engine. */
    public void removeEngine(String engineName) {
        EngineView engine = engines.remove(engineName);
        if (engine != null) {
            removeFromPools(engine);
            prefixes.removeEngine(engineName);
        }
    }

    /** Takes an engine's report, which was taken {@code age} ago. */
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

    /** Takes a cache event; answers whether events before it were missed, so that a snapshot is worth asking for. */
    public boolean applyCacheEvent(String engineName, long sequence, CacheEvent event) {
        return engines.containsKey(engineName) && prefixes.apply(engineName, sequence, event);
    }

    /**
     * Chooses the engine, or the pair of engines, with the earliest expected finish among those accepted. An engine for
     * whole requests may also take one stage of a pair.
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

    /** Notes that the request was sent as decided. */
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

    /** Notes that the request has ended in whatever way. */
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

    /** Returns how many requests are out. */
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

    /** Where every draw was refused, looks for the one engine that is not, from a random place on. */
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
