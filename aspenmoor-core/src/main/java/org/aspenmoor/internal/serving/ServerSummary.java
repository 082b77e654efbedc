package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.serving.limit.LimitSummary;

/**
 * What this entry knows or estimates about one backend server, for operators.
 *
 * @param server the server as it registered itself
 * @param waitSeconds how long a new request probably waits there
 * @param load its load
 * @param ownRequests requests of this entry at the server
 * @param slowdown how many times longer than expected it takes at its usual speed
 * @param statedSlowdown how many times longer than usual it takes at this moment; empty if it has not stated that lately
 * @param lastingSlowdown how many times longer than usual it takes outside of slow phases, as it states itself
 * @param failureFraction fraction of its recent answers that were failures
 * @param changingRole whether it has been ordered to change its role
 * @param paused whether it gets no requests after failures
 * @param cachedTokens prompt tokens that it has probably cached
 * @param backoff for how long it wants no requests from this entry; zero if it has not asked for a pause
 * @param limit the limit that it states and this entry's share of it; empty if it states no limit
 */
public record ServerSummary(
        BackendServer server,
        double waitSeconds,
        EngineLoad load,
        int ownRequests,
        double slowdown,
        Optional<StatedSlowdown> statedSlowdown,
        double lastingSlowdown,
        double failureFraction,
        boolean changingRole,
        boolean paused,
        int cachedTokens,
        Duration backoff,
        Optional<LimitSummary> limit) {}
