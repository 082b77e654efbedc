package org.aspenmoor.internal.admission;

import org.aspenmoor.internal.routing.RoutingDecision;

/** What to do now with the request that is next in the queue. */
public sealed interface DispatchDecision {
    /**
     * Send it.
     *
     * @param decision where
     */
    record Send(RoutingDecision decision) implements DispatchDecision {}

    /** Leave it in the queue, where heavier work may still pass it; ask again when load has changed. */
    record Wait() implements DispatchDecision {}

    /**
     * Refuse it.
     *
     * @param refusal what its caller is told
     */
    record Refuse(AdmissionDecision.Refused refusal) implements DispatchDecision {}
}
