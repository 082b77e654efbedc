package org.aspenmoor.internal.bench.policy.strategy;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.engine.EngineLoad;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.routing.CacheEvent;
import org.aspenmoor.internal.routing.CandidateFilter;
import org.aspenmoor.internal.routing.Router;
import org.aspenmoor.internal.routing.RoutingDecision;
import org.aspenmoor.internal.routing.RoutingRequest;

/** The router that the daemon uses. */
public final class RouterStrategy implements RoutingStrategy {
    private static final double NANOSECONDS = 1e9;

    private final Router router;

    public RouterStrategy(Router router) {
        this.router = router;
    }

    @Override
    public void added(String backend, String dataCentre) {
        router.addEngine(backend, dataCentre);
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
        router.applyReport(backend, load, role, ready, loaded, Duration.ofNanos((long) (ageSeconds * NANOSECONDS)), now);
    }

    @Override
    public void cacheEvent(String backend, long sequence, CacheEvent event) {
        router.applyCacheEvent(backend, sequence, event);
    }

    @Override
    public Optional<RoutingDecision> choose(RoutingRequest request, CandidateFilter filter, long now) {
        return router.choose(request, filter, now);
    }

    @Override
    public void sent(RoutingRequest request, RoutingDecision decision, long now) {
        router.recordSent(request, decision, now);
    }

    @Override
    public void ended(RequestId id, long now) {
        router.recordEnded(id, now);
    }
}
