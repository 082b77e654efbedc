package org.aspenmoor.internal.admission;

import org.aspenmoor.internal.routing.RoutingDecision;

/** What to do now with the request that is next in the queue. */
public sealed interface DispatchVerdict {
    /**
     * Send it.
     *
     * @param decision where
     */
    record Send(RoutingDecision decision) implements DispatchVerdict {}

    /** Leave it in the queue, where heavier work may still pass it; ask again when load has changed. */
    record Wait() implements DispatchVerdict {}

    /**
     * Refuse it.
     *
     * @param refusal what its caller is told
     */
    record GiveUp(AdmissionDecision.Refused refusal) implements DispatchVerdict {}
}
