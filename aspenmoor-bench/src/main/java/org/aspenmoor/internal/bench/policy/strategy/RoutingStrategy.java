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

/** Chooses engines for the requests of one entry. */
public interface RoutingStrategy {
    /** Adds an engine. */
    void engineAdded(String engine, String dataCentre);

    /** Records a load report, given its age in seconds. */
    void loadReported(
            String engine,
            EngineLoad load,
            EngineRole role,
            boolean ready,
            Set<String> loadedModels,
            double ageSeconds,
            long now);

    /** Records a change of the prefix cache of an engine. */
    void cacheEventReceived(String engine, long sequence, CacheEvent event);

    /** Chooses the engines for a request; empty if no engine can take it. */
    Optional<RoutingDecision> choose(RoutingRequest request, CandidateFilter filter, long now);

    /** Records that a request was sent. */
    void requestSent(RoutingRequest request, RoutingDecision decision, long now);

    /** Records that a request has ended. */
    void requestEnded(RequestId id, long now);
}
