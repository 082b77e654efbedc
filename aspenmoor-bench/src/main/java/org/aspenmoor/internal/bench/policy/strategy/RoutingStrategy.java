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
    void added(String backend, String dataCentre);

    /** Takes a report that is so many seconds old. */
    void reported(
            String backend,
            EngineLoad load,
            EngineRole role,
            boolean ready,
            Set<String> loaded,
            double ageSeconds,
            long now);

    /** Takes a cache event. */
    void cacheEvent(String backend, long sequence, CacheEvent event);

    /** Chooses. */
    Optional<RoutingDecision> choose(RoutingRequest request, CandidateFilter filter, long now);

    /** Notes a send. */
    void sent(RoutingRequest request, RoutingDecision decision, long now);

    /** Notes the end of a request. */
    void ended(RequestId id, long now);
}
