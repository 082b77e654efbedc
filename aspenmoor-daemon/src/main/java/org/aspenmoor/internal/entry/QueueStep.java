package org.aspenmoor.internal.entry;

import org.aspenmoor.internal.routing.RoutingDecision;

/** What a serviceQueue does next. */
sealed interface QueueStep {
    /** Sends a request as decided. */
    record Send(ActiveRequest request, RoutingDecision decision) implements QueueStep {}

    /** Refuses a request. */
    record Refuse(Refusal refusal) implements QueueStep {}

    /** Has nothing to do now. */
    record Idle() implements QueueStep {}
}
