package org.aspenmoor.internal.entry;

import org.aspenmoor.internal.routing.RoutingDecision;

/** What a lane does next. */
sealed interface LaneStep {
    /** Sends a request as decided. */
    record Send(ActiveRequest request, RoutingDecision decision) implements LaneStep {}

    /** Refuses a request. */
    record Refuse(Refusal refusal) implements LaneStep {}

    /** Has nothing to do now. */
    record Rest() implements LaneStep {}
}
