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

/** The requests an entry holds; each that is put in leaves by exactly one of the ways out. */
final class RequestTable {
    private static final Logger LOG = Logger.getLogger("entry");

    private final Map<RequestId, ActiveRequest> active = new HashMap<>();
    private final RequestCounters account = new RequestCounters();
    private final TraceLog traces;
    private final EntryMetrics metrics;

    RequestTable(TraceLog traces, EntryMetrics metrics) {
        this.traces = traces;
        this.metrics = metrics;
    }

    void put(ActiveRequest request) {
        account.countReceived();
        active.put(request.id(), request);
    }

    /** Counts a request that was refused before it belonged to a service. */
    void refusedAtOnce(IncomingRequest request, Outcome.NotRun refusal) {
        account.countReceived();
        account.countFinished(refusal);
        metrics.refusedUnmatched(refusal);
        traces.add(request.id(), 0, "refused, not run: " + refusal.detail());
        request.sink().refused(refusal);
    }

    Optional<ActiveRequest> find(RequestId id) {
        return Optional.ofNullable(active.get(id));
    }

    /** Finds the request of a frame if the frame is of its current attempt. */
    Optional<ActiveRequest> findCurrent(AttemptId id) {
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

    void answered(ActiveRequest request, int status, long now) {
        leave(request, new Outcome.Answered(status), now);
    }

    void refused(ActiveRequest request, Outcome.NotRun refusal, long now) {
        leave(request, refusal, now);
        trace(request, now, "refused, not run: " + refusal.reason() + ", " + refusal.detail());
        request.sink().refused(refusal);
    }

    void unknown(ActiveRequest request, String detail, long now) {
        Outcome.Unknown unknown = new Outcome.Unknown(detail);
        leave(request, unknown, now);
        trace(request, now, "given up, nobody knows whether it ran: " + detail);
        request.sink().unknown(unknown);
    }

    void cancelled(ActiveRequest request, long now) {
        if (active.remove(request.id()) == null) {
            return;
        }
        account.countCancelled();
        metrics.cancelled(request.document(), request.kind());
        trace(request, now, "cancelled, the caller has gone away");
    }

    void trace(ActiveRequest request, long now, String sentence) {
        traces.add(request.id(), TimeUnit.NANOSECONDS.toMillis(now - request.receivedAt()), sentence);
    }

    RequestCounters.Totals totals() {
        return account.totals();
    }

    Optional<String> imbalance() {
        return account.imbalance(active.size());
    }

    void checkAccount() {
        imbalance().ifPresent(difference -> {
            metrics.imbalance();
            LOG.errorf("entry: account broken, %s", difference);
        });
    }

    private void leave(ActiveRequest request, Outcome outcome, long now) {
        active.remove(request.id());
        account.countFinished(outcome);
        metrics.ended(request.document(), request.kind(), outcome, now <= request.deadlineAt());
    }
}
