package org.aspenmoor.internal.gateway.request;

import java.time.Duration;
import org.aspenmoor.internal.gateway.protocol.CallerHeaders;
import org.aspenmoor.internal.serving.PlacementRequest;
import org.aspenmoor.internal.serving.RequestDeadlines;
import org.aspenmoor.internal.serving.Route;

/** Says what one request asks of its next placement. */
final class PlacementRequests {
    private final String service;
    private final CallerHeaders caller;
    private final Route route;
    private final RequestDeadlines times;
    private final RequestTrace trace;
    private final CallerStream stream;
    private final TriedServers tried;

    PlacementRequests(
            String service,
            CallerHeaders caller,
            Route route,
            RequestDeadlines times,
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
        Duration left = Duration.ofNanos(times.callerWaitsUntil(trace.lastEvent()) - now);
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
