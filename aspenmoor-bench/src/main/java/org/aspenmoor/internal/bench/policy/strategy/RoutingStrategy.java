package org.aspenmoor.internal.bench.policy.strategy;

import java.util.Optional;
import java.util.Set;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.engine.EngineLoad;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.routing.CacheEvent;
import org.aspenmoor.internal.routing.CandidateFilter;
import org.aspenmoor.internal.routing.RoutingDecision;
import org.aspenmoor.internal.routing.RoutingRequest;

/** How one entry chooses engines. */
public interface RoutingStrategy {
    /** Learns of an engine. */
    void engineAdded(String engine, String dataCentre);

    /** Takes a report that is so many seconds old. */
    void loadReported(
            String engine,
            EngineLoad load,
            EngineRole role,
            boolean ready,
            Set<String> loadedModels,
            double ageSeconds,
            long now);

    /** Takes a cache event. */
    void cacheEventReceived(String engine, long sequence, CacheEvent event);

    /** Chooses. */
    Optional<RoutingDecision> choose(RoutingRequest request, CandidateFilter filter, long now);

    /** Notes a send. */
    void requestSent(RoutingRequest request, RoutingDecision decision, long now);

    /** Notes the end of a request. */
    void requestEnded(RequestId id, long now);
}
