package org.aspenmoor.internal.entry;

import org.aspenmoor.internal.routing.RoutingDecision;

/** The next step of a service queue. */
sealed interface QueueStep {
    /** Dispatch a request as decided. */
    record Send(ActiveRequest request, RoutingDecision decision) implements QueueStep {}

    /** Refuse a request. */
    record Refuse(Refusal refusal) implements QueueStep {}

    /** Nothing to do now. */
    record Idle() implements QueueStep {}
}
