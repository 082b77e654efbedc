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
 * Round robin and least reported load: the usual rules, which know neither their own sends nor prefixes.
 *
 * <p>They use two stages where both roles exist. They estimate from the last report only, so that their admission
 * works on the same terms.
 */
public final class BaselineRouting implements RoutingStrategy {
    private final boolean leastLoad;
    private final EngineSpeed speed;
    private final Map<String, Reported> engines = new LinkedHashMap<>();
    private int turn;

    /** Makes least-reported-load routing, or round robin. */
    public BaselineRouting(boolean leastLoad, EngineSpeed speed) {
        this.leastLoad = leastLoad;
        this.speed = speed;
    }

    @Override
    public void added(String backend, String dataCentre) {
        engines.put(backend, new Reported(EngineRole.WHOLE, false, new EngineLoad(0, 0, 0, 1, 0, 0)));
    }

    @Override
    public void reported(
            String backend,
            EngineLoad load,
            EngineRole role,
            boolean ready,
            Set<String> loaded,
            double ageSeconds,
            long now) {
        engines.put(backend, new Reported(role, ready, load));
    }

    @Override
    public void cacheEvent(String backend, long sequence, CacheEvent event) {
        // These rules know no prefixes.
    }

    @Override
    public Optional<RoutingDecision> choose(RoutingRequest request, CandidateFilter filter, long now) {
        turn++;
        Optional<String> prefill = pick(EngineRole.PREFILL, filter);
        Optional<String> decode = pick(EngineRole.DECODE, filter);
        Optional<String> whole = pick(EngineRole.WHOLE, filter);
        boolean pair = prefill.isPresent() && decode.isPresent();
        if (pair && whole.isPresent()) {
            long wholes = engines.values().stream()
                    .filter(engine -> engine.role() == EngineRole.WHOLE)
                    .count();
            pair = turn % engines.size() >= wholes;
        }
        if (pair) {
            return Optional.of(decision(request, decode.get(), prefill));
        }
        return whole.map(engine -> decision(request, engine, Optional.empty()));
    }

    @Override
    public void sent(RoutingRequest request, RoutingDecision decision, long now) {
        // These rules do not count their own sends.
    }

    @Override
    public void ended(RequestId id, long now) {
        // These rules do not count their own sends.
    }

    private Optional<String> pick(EngineRole role, CandidateFilter filter) {
        List<String> open = engines.entrySet().stream()
                .filter(entry -> entry.getValue().ready() && entry.getValue().role() == role)
                .map(Map.Entry::getKey)
                .filter(filter::accepts)
                .toList();
        if (open.isEmpty()) {
            return Optional.empty();
        }
        if (!leastLoad) {
            return Optional.of(open.get(turn % open.size()));
        }
        return open.stream()
                .min((one, other) -> Double.compare(loadSeconds(engines.get(one)), loadSeconds(engines.get(other))));
    }

    private double loadSeconds(Reported engine) {
        EngineLoad load = engine.load();
        return speed.prefillSeconds((double) load.queuedPrefillTokens())
                + (double) load.runningSequences() / Math.max(1, load.maxSequences());
    }

    private RoutingDecision decision(RoutingRequest request, String answer, Optional<String> prompt) {
        EngineLoad promptLoad = engines.get(prompt.orElse(answer)).load();
        EngineLoad answerLoad = engines.get(answer).load();
        double wait = speed.prefillSeconds((double) promptLoad.queuedPrefillTokens());
        double firstToken = wait + speed.prefillSeconds(request.promptTokens());
        double finish =
                firstToken + request.expectedOutputTokens() * speed.stepSeconds(answerLoad.runningSequences() + 1);
        return new RoutingDecision(answer, prompt, 0, wait, firstToken, finish, OptionalDouble.empty());
    }

    private record Reported(EngineRole role, boolean ready, EngineLoad load) {}
}
