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

/** Routing by the router of the daemon. */
public final class RouterStrategy implements RoutingStrategy {
    private static final double NANOSECONDS = 1e9;

    private final Router router;

    public RouterStrategy(Router router) {
        this.router = router;
    }

    @Override
    public void engineAdded(String engine, String dataCentre) {
        router.addEngine(engine, dataCentre);
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
        router.applyReport(
                engine, load, role, ready, loadedModels, Duration.ofNanos((long) (ageSeconds * NANOSECONDS)), now);
    }

    @Override
    public void cacheEventReceived(String engine, long sequence, CacheEvent event) {
        router.applyCacheEvent(engine, sequence, event);
    }

    @Override
    public Optional<RoutingDecision> choose(RoutingRequest request, CandidateFilter filter, long now) {
        return router.choose(request, filter, now);
    }

    @Override
    public void requestSent(RoutingRequest request, RoutingDecision decision, long now) {
        router.recordSent(request, decision, now);
    }

    @Override
    public void requestEnded(RequestId id, long now) {
        router.recordEnded(id, now);
    }
}
