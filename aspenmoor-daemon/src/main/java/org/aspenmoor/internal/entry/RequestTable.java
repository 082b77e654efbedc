package org.aspenmoor.internal.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.Outcome;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.accounting.RequestCounters;
import org.aspenmoor.internal.wire.v1.AttemptId;
import org.jboss.logging.Logger;

/** The active requests of an entry. Each request that is added ends by exactly one of the {@code end...} methods. */
final class RequestTable {
    private static final Logger LOG = Logger.getLogger("entry");

    private final Map<RequestId, ActiveRequest> active = new HashMap<>();
    private final RequestCounters requestCounts = new RequestCounters();
    private final TraceLog traces;
    private final EntryMetrics metrics;

    RequestTable(TraceLog traces, EntryMetrics metrics) {
        this.traces = traces;
        this.metrics = metrics;
    }

    void put(ActiveRequest request) {
        requestCounts.countReceived();
        active.put(request.id(), request);
    }

    /** Refuses and counts a request that was not matched to a service. */
    void refuseUnmatched(IncomingRequest request, Outcome.NotRun refusal) {
        requestCounts.countReceived();
        requestCounts.countFinished(refusal);
        metrics.recordUnmatchedRefusal(refusal);
        traces.add(request.id(), 0, "refused, not run: " + refusal.detail());
        request.sink().onRefused(refusal);
    }

    Optional<ActiveRequest> find(RequestId id) {
        return Optional.ofNullable(active.get(id));
    }

    /** Returns the request of a frame if the frame belongs to its current attempt. */
    Optional<ActiveRequest> findByCurrentAttempt(AttemptId id) {
        return find(new RequestId(id.getRequestHigh(), id.getRequestLow()))
                .filter(request -> request.assembly().isCurrent(id.getAttempt()))
                .filter(request -> request.peer().isPresent());
    }

    List<ActiveRequest> all() {
        return new ArrayList<>(active.values());
    }

    int size() {
        return active.size();
    }

    void endAnswered(ActiveRequest request, int status, long now) {
        end(request, new Outcome.Answered(status), now);
    }

    void endRefused(ActiveRequest request, Outcome.NotRun refusal, long now) {
        end(request, refusal, now);
        trace(request, now, "refused, not run: " + refusal.reason() + ", " + refusal.detail());
        request.sink().onRefused(refusal);
    }

    void endUnknown(ActiveRequest request, String detail, long now) {
        Outcome.Unknown unknown = new Outcome.Unknown(detail);
        end(request, unknown, now);
        trace(request, now, "given up, unknown whether it ran: " + detail);
        request.sink().onUnknown(unknown);
    }

    void endCancelled(ActiveRequest request, long now) {
        if (active.remove(request.id()) == null) {
            return;
        }
        requestCounts.countCancelled();
        metrics.recordCancellation(request.document(), request.kind());
        trace(request, now, "cancelled, the caller disconnected");
    }

    void trace(ActiveRequest request, long now, String event) {
        traces.add(request.id(), TimeUnit.NANOSECONDS.toMillis(now - request.receivedAt()), event);
    }

    RequestCounters.Totals totals() {
        return requestCounts.totals();
    }

    Optional<String> imbalance() {
        return requestCounts.imbalance(active.size());
    }

    void reportImbalance() {
        imbalance().ifPresent(imbalance -> {
            metrics.recordImbalance();
            LOG.errorf("entry: request counts are inconsistent: %s", imbalance);
        });
    }

    private void end(ActiveRequest request, Outcome outcome, long now) {
        active.remove(request.id());
        requestCounts.countFinished(outcome);
        metrics.recordOutcome(request.document(), request.kind(), outcome, now <= request.deadlineAt());
    }
}
