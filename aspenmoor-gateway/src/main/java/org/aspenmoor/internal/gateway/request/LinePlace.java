package org.aspenmoor.internal.gateway.request;

import org.aspenmoor.internal.serving.Placement;
import org.aspenmoor.internal.serving.RequestTimes;
import org.aspenmoor.internal.serving.WaitingLine;

/** Records the steps of one request in the wait queue of its service: queued, dispatched to an engine, answered. */
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

    /**
     * Adds the request to the queue until an engine has capacity.
     *
     * @param wantedBy when the answer has to begin at the latest to be of use, in nanoseconds of the monotonic clock
     */
    void take(Placement.Held held, long wantedBy) {
        trace.waits(now());
        tools.lines()
                .add(new WaitingLine.Waiting<>(
                        request, held.promptSeconds(), times.arrivedAt(), times.aimAt(), wantedBy));
    }

    /** Records that the request is sent to an engine. */
    void departed() {
        departedAt = now();
        trace.departed(departedAt);
        tools.lines().departed(request.service(), times.aimAt(), departedAt);
    }

    /** Records the first byte of the answer. */
    void answered() {
        tools.lines().answered(request.service(), departedAt, now());
    }

    private long now() {
        return tools.state().time().monotonicNanoseconds();
    }
}
