package org.aspenmoor.internal.gateway.request;

import java.time.Duration;
import org.aspenmoor.internal.gateway.backend.Exchange;
import org.aspenmoor.internal.serving.AssignedWork;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.WorkKind;

/** The open attempt of a request; there is at most one at a time. Confined to the event loop. */
final class CurrentAttempt {
    private final ServingContext context;
    private final String service;
    private final Duration objective;
    private AssignedWork work;
    private Exchange exchange;

    CurrentAttempt(ServingContext context, String service, Duration objective) {
        this.context = context;
        this.service = service;
        this.objective = objective;
    }

    /** Begins an attempt and records it with the placement policy. */
    AssignedWork begin(BackendServer server, WorkKind kind, double promptSeconds) {
        long now = context.state().time().monotonicNanos();
        work = context.state().placement().attemptStarted(server, kind, promptSeconds, objective, now);
        return work;
    }

    /**
     * Sets the exchange of an attempt, unless the attempt is no longer the current one. An attempt can end while it
     * is being sent, and the next one can begin. If the exchange of the ended attempt were stored as the current one,
     * a later cancellation would cancel it instead of the open exchange, whose answer would then arrive while
     * another attempt is already in progress.
     */
    void setExchange(AssignedWork sentWork, Exchange newExchange) {
        if (sentWork.equals(work)) {
            exchange = newExchange;
        }
    }

    /** Returns whether an attempt is open. */
    boolean isOpen() {
        return work != null;
    }

    /** Returns whether the given attempt is the open one. */
    boolean isOpen(AssignedWork someWork) {
        return someWork.equals(work);
    }

    /** Ends an attempt and dispatches waiting requests, since its server can accept another one. */
    void end(AssignedWork endedWork) {
        context.state().placement().attemptEnded(endedWork);
        if (endedWork.equals(work)) {
            work = null;
            exchange = null;
        }
        context.waitQueues().dispatchWaiting(service);
    }

    /** Cancels the exchange; the caller of this method has to end the attempt. */
    void cancel() {
        if (exchange != null) {
            exchange.cancel();
            exchange = null;
        }
    }

    /** Cancels and ends the open attempt, if there is one. */
    void abandon() {
        cancel();
        if (work != null) {
            end(work);
        }
    }

    /** Returns how far the open attempt has come. */
    AttemptProgress progress() {
        if (exchange == null) {
            return AttemptProgress.NONE_OPEN;
        }
        return exchange.requestWritten() ? AttemptProgress.WRITTEN : AttemptProgress.UNWRITTEN;
    }

    /** Pauses or resumes reading the answer. */
    void setReading(boolean reading) {
        if (exchange != null) {
            exchange.setReading(reading);
        }
    }
}
