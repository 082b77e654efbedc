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
    private final HeaviestWeight heaviest = new HeaviestWeight();
    private final StageEstimator estimator;
    private final Map<String, EngineView> engines = new LinkedHashMap<>();
    private final Map<PoolKey, EnginePool> pools = new HashMap<>();
    private final Map<RequestId, SentRequest> sent = new HashMap<>();

    // Candidates of the decision being made; kept, since a list for each decision was most of what one allocated.
    private final List<EngineView> wholeEngines = new ArrayList<>();
    private final List<EngineView> prefillEngines = new ArrayList<>();
    private final List<EngineView> decodeEngines = new ArrayList<>();

    public Router(RouterSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
        this.prefixes = new PrefixIndex(settings.mostIndexedPieces());
        this.estimator = new StageEstimator(settings, prefixes, heaviest);
    }

    /** Learns of an engine; it is chosen once it has reported that it is ready. */
    public void added(String backend, String dataCentre) {
        engines.computeIfAbsent(backend, name -> new EngineView(name, dataCentre, settings.speed()));
    }

    /** Forgets an engine. */
    public void removed(String backend) {
        EngineView engine = engines.remove(backend);
        if (engine != null) {
            leavePools(engine);
            prefixes.forget(backend);
        }
    }

    /** Takes an engine's report, which was taken {@code age} ago. */
    public void reported(
            String backend,
            EngineLoad load,
            EngineRole role,
            boolean ready,
            Set<String> loaded,
            Duration age,
            long nowNanoseconds) {
        EngineView engine = engines.get(backend);
        if (engine == null) {
            return;
        }
        boolean samePools = engine.ready() == ready
                && engine.role() == role
                && engine.loaded().equals(loaded);
        if (samePools) {
            engine.report(load, role, ready, loaded, nowNanoseconds - age.toNanos());
            return;
        }
        leavePools(engine);
        engine.report(load, role, ready, loaded, nowNanoseconds - age.toNanos());
        enterPools(engine);
    }

    /** Takes a cache event; answers whether events before it were missed, so that a snapshot is worth asking for. */
    public boolean cacheEvent(String backend, long sequence, CacheEvent event) {
        return engines.containsKey(backend) && prefixes.apply(backend, sequence, event);
    }

    /**
     * Chooses the engine, or the pair of engines, with the earliest expected finish among those accepted. An engine for
     * whole requests may also take one stage of a pair.
     */
    public Optional<RoutingDecision> choose(RoutingRequest request, CandidateFilter filter, long nowNanoseconds) {
        heaviest.seen(request.weight(), nowNanoseconds);
        findCandidates(request, EngineRole.WHOLE, filter, wholeEngines);
        findCandidates(request, EngineRole.PREFILL, filter, prefillEngines);
        findCandidates(request, EngineRole.DECODE, filter, decodeEngines);
        StageEstimate whole = null;
        StageEstimate prefill = null;
        StageEstimate decode = null;
        for (EngineView engine : wholeEngines) {
            whole = earlier(whole, estimator.whole(engine, request, nowNanoseconds));
            prefill = decodeEngines.isEmpty()
                    ? prefill
                    : earlier(prefill, estimator.prefill(engine, request, nowNanoseconds));
            decode = prefillEngines.isEmpty()
                    ? decode
                    : earlier(decode, estimator.decode(engine, request, nowNanoseconds));
        }
        for (EngineView engine : prefillEngines) {
            prefill = earlier(prefill, estimator.prefill(engine, request, nowNanoseconds));
        }
        for (EngineView engine : decodeEngines) {
            decode = earlier(decode, estimator.decode(engine, request, nowNanoseconds));
        }
        return DecisionMaker.decide(
                Optional.ofNullable(whole), Optional.ofNullable(prefill), Optional.ofNullable(decode));
    }

    private static StageEstimate earlier(StageEstimate best, StageEstimate other) {
        return best == null || other.score() < best.score() ? other : best;
    }

    /** Notes that the request was sent as decided. */
    public void sent(RoutingRequest request, RoutingDecision decision, long nowNanoseconds) {
        int tokens = request.promptTokens() - decision.cachedTokens();
        EngineView prompt = engines.get(decision.promptBackend());
        if (prompt != null) {
            prompt.record(new OwnSend(
                    nowNanoseconds, tokens, decision.prefillBackend().isPresent() ? 0 : 1));
            prefixes.sent(prompt.name(), request.prefix());
        }
        EngineView answer = engines.get(decision.backend());
        if (answer != null && decision.prefillBackend().isPresent()) {
            answer.record(new OwnSend(nowNanoseconds, 0, 1));
        }
        sent.put(request.id(), new SentRequest(decision.backend()));
    }

    /** Notes that the request has ended in whatever way. */
    public void ended(RequestId id, long nowNanoseconds) {
        SentRequest ended = sent.remove(id);
        if (ended == null) {
            return;
        }
        EngineView engine = engines.get(ended.backend());
        if (engine != null) {
            engine.record(new OwnSend(nowNanoseconds, 0, -1));
        }
    }

    /** Returns how many requests are out. */
    public int outstanding() {
        return sent.size();
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
        request.adapter().ifPresent(adapter -> draw(new PoolKey(adapter, role), filter, candidates));
        draw(new PoolKey(request.model(), role), filter, candidates);
    }

    private void draw(PoolKey key, CandidateFilter filter, List<EngineView> candidates) {
        EnginePool pool = pools.get(key);
        if (pool == null) {
            return;
        }
        int wanted = Math.min(settings.sampledCandidates(), pool.size());
        int taken = 0;
        for (int draws = 0; draws < wanted * DRAWS_PER_CANDIDATE && taken < wanted; draws++) {
            EngineView engine = pool.at(random.nextInt(pool.size()));
            if (!candidates.contains(engine) && filter.accepts(engine.name())) {
                candidates.add(engine);
                taken++;
            }
        }
        if (candidates.isEmpty()) {
            scan(pool, filter, candidates);
        }
    }

    /** Where every draw was refused, looks for the one engine that is not, from a random place on. */
    private void scan(EnginePool pool, CandidateFilter filter, List<EngineView> candidates) {
        if (pool.size() == 0) {
            return;
        }
        int start = random.nextInt(pool.size());
        for (int step = 0; step < pool.size(); step++) {
            EngineView engine = pool.at((start + step) % pool.size());
            if (filter.accepts(engine.name())) {
                candidates.add(engine);
                return;
            }
        }
    }

    private static boolean isUsable(EngineView engine, RoutingRequest request, EngineRole role) {
        return engine.ready() && engine.role() == role && engine.loaded().contains(request.model());
    }

    private void enterPools(EngineView engine) {
        if (!engine.ready()) {
            return;
        }
        for (String name : engine.loaded()) {
            pools.computeIfAbsent(new PoolKey(name, engine.role()), key -> new EnginePool())
                    .add(engine);
        }
    }

    private void leavePools(EngineView engine) {
        for (String name : engine.loaded()) {
            EnginePool pool = pools.get(new PoolKey(name, engine.role()));
            if (pool != null) {
                pool.remove(engine);
            }
        }
    }
}
