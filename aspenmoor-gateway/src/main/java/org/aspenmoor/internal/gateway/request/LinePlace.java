package org.aspenmoor.internal.gateway.request;

import org.aspenmoor.internal.serving.Placement;
import org.aspenmoor.internal.serving.RequestTimes;
import org.aspenmoor.internal.serving.WaitingLine;

/** One request's dealings with the line of its service: waiting, leaving for an engine, what that took. */
final class LinePlace {
    private final RequestTools tools;
    private final ServedRequest request;
    private final RequestTimes times;
    private final RequestTrace trace;
    private long departedAt;

    LinePlace(RequestTools tools, ServedRequest request, RequestTimes times, RequestTrace trace) {
        this.tools = tools;
        this.request = request;
        this.times = times;
        this.trace = trace;
    }

    /** Waits until an engine has room; an answer that begins later than wanted is of no use. */
    void take(Placement.Held held, long wantedBy) {
        trace.waits(now());
        tools.lines()
                .add(new WaitingLine.Waiting<>(
                        request, held.promptSeconds(), times.arrivedAt(), times.aimAt(), wantedBy));
    }

    /** Notes that the request leaves for an engine. */
    void departed() {
        departedAt = now();
        trace.departed(departedAt);
        tools.lines().departed(request.service(), times.aimAt(), departedAt);
    }

    /** Notes the first byte of the answer. */
    void answered() {
        tools.lines().answered(request.service(), departedAt, now());
    }

    private long now() {
        return tools.state().time().monotonicNanos();
    }
}
