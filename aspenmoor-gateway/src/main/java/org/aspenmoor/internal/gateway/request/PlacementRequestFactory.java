package org.aspenmoor.internal.gateway.request;

import java.time.Duration;
import org.aspenmoor.internal.gateway.protocol.CallerHeaders;
import org.aspenmoor.internal.serving.PlacementRequest;
import org.aspenmoor.internal.serving.RequestDeadlines;
import org.aspenmoor.internal.serving.Route;

/** Builds the placement requests of one caller's request. */
final class PlacementRequestFactory {
    private final String service;
    private final CallerHeaders caller;
    private final Route route;
    private final RequestDeadlines deadlines;
    private final RequestTrace trace;
    private final CallerStream stream;
    private final TriedServers triedServers;
    private boolean mayQueue = true;

    PlacementRequestFactory(
            String service,
            CallerHeaders caller,
            Route route,
            RequestDeadlines deadlines,
            RequestTrace trace,
            CallerStream stream,
            TriedServers triedServers) {
        this.service = service;
        this.caller = caller;
        this.route = route;
        this.deadlines = deadlines;
        this.trace = trace;
        this.stream = stream;
        this.triedServers = triedServers;
    }

    /** Has the request placed at once from now on, or not at all. */
    void endQueueing() {
        mayQueue = false;
    }

    PlacementRequest create(boolean othersQueued, long now) {
        Duration remaining = Duration.ofNanos(deadlines.usefulUntil(trace.lastEventTime()) - now);
        return new PlacementRequest(
                service,
                caller.prompt(),
                remaining,
                route.objective(),
                stream.begun(),
                triedServers.ids(),
                triedServers.mayPrefill(),
                mayQueue && caller.prompt().isPresent(),
                othersQueued,
                stream.versionRequirement());
    }
}
