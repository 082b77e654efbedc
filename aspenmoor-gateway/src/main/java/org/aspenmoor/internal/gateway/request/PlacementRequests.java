package org.aspenmoor.internal.gateway.request;

import java.time.Duration;
import org.aspenmoor.internal.gateway.protocol.CallerRequest;
import org.aspenmoor.internal.serving.PlacementRequest;
import org.aspenmoor.internal.serving.RequestTimes;
import org.aspenmoor.internal.serving.Route;

/** Builds the placement requests of one caller's request. */
final class PlacementRequests {
    private final String service;
    private final CallerRequest caller;
    private final Route route;
    private final RequestTimes times;
    private final RequestTrace trace;
    private final CallerStream stream;
    private final TriedServers tried;

    PlacementRequests(
            String service,
            CallerRequest caller,
            Route route,
            RequestTimes times,
            RequestTrace trace,
            CallerStream stream,
            TriedServers tried) {
        this.service = service;
        this.caller = caller;
        this.route = route;
        this.times = times;
        this.trace = trace;
        this.stream = stream;
        this.tried = tried;
    }

    PlacementRequest next(boolean othersWait, long now) {
        Duration left = Duration.ofNanos(times.wantedBy(trace.lastEvent()) - now);
        return new PlacementRequest(
                service,
                caller.prompt(),
                left,
                route.objective(),
                stream.begun(),
                tried.identities(),
                tried.mayStage(),
                caller.prompt().isPresent(),
                othersWait);
    }
}
