package org.aspenmoor.internal.admission;

import org.aspenmoor.internal.routing.RoutingDecision;

/** What to do with the next request of the queue. */
public sealed interface DispatchDecision {
    /**
     * Send the request.
     *
     * @param decision the engines to send it to
     */
    record Send(RoutingDecision decision) implements DispatchDecision {}

    /**
     * Leave the request in the queue, where requests of greater weight may go first; retry when the load has changed.
     */
    record Wait() implements DispatchDecision {}

    /**
     * Refuse the request.
     *
     * @param refusal the refusal that is sent to the caller
     */
    record Refuse(AdmissionDecision.Refused refusal) implements DispatchDecision {}
}
