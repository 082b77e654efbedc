package org.aspenmoor.internal.serving.share;

import java.time.Duration;

/** Whether a request is admitted, given what its organisation has recently demanded of the service. */
public sealed interface ShareDecision {
    /**
     * The request may be placed.
     *
     * @param withinAllowance whether all requests of its organisation are admitted at present
     */
    record Admitted(boolean withinAllowance) implements ShareDecision {}

    /**
     * The request is not run because its organisation demands more than its share.
     *
     * @param retryAfter after which time the organisation is likely to have room again
     */
    record Refused(Duration retryAfter) implements ShareDecision {}
}
