package org.aspenmoor.internal.gateway.request;

import java.time.Duration;
import org.aspenmoor.internal.gateway.backend.Exchange;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.PlacedWork;
import org.aspenmoor.internal.serving.WorkKind;

/** The attempt that a request has open at a server, of which there is one at most. Confined to the event loop. */
final class CurrentAttempt {
    private final RequestTools tools;
    private final String service;
    private final Duration objective;
    private PlacedWork work;
    private Exchange exchange;

    CurrentAttempt(RequestTools tools, String service, Duration objective) {
        this.tools = tools;
        this.service = service;
        this.objective = objective;
    }

    /** Notes that an attempt begins. */
    PlacedWork begin(BackendServer server, WorkKind kind, double promptSeconds) {
        long now = tools.state().time().monotonicNanos();
        work = tools.state().placer().placed(server, kind, promptSeconds, objective, now);
        return work;
    }

    /**
     * Notes the exchange of an attempt. It may have ended while it was being sent, and another attempt have begun. Taken
     * for the current one, the ended exchange would be cancelled in place of the other, whose answer then met a request
     * that had gone on.
     */
    void sent(PlacedWork of, Exchange sent) {
        if (of.equals(work)) {
            exchange = sent;
        }
    }

    /** Notes that an attempt is over; its server has room for another request. */
    void end(PlacedWork ended) {
        tools.state().placer().ended(ended);
        if (ended.equals(work)) {
            work = null;
            exchange = null;
        }
        tools.lines().roomMayBe(service);
    }

    /** Breaks the exchange off; the attempt is ended by whoever does so. */
    void cancel() {
        if (exchange != null) {
            exchange.cancel();
            exchange = null;
        }
    }

    /** Breaks off and ends whatever is open. */
    void abandon() {
        cancel();
        if (work != null) {
            end(work);
        }
    }

    /** Stops or goes on reading the answer. */
    void read(boolean on) {
        if (exchange != null) {
            exchange.read(on);
        }
    }
}
