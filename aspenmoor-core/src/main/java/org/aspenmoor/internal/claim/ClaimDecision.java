package org.aspenmoor.internal.claim;

import java.time.Duration;

/** What the store says about a claim. */
public sealed interface ClaimDecision {
    /** Returns the call that asked. */
    ClaimRequest request();

    /**
     * The call may be dispatched, once.
     *
     * @param request the call
     * @param ticket under which its outcome is reported
     */
    record Granted(ClaimRequest request, ClaimTicket ticket) implements ClaimDecision {}

    /**
     * The call has run before.
     *
     * @param request the call
     * @param answer what it was answered then
     */
    record AlreadyAnswered(ClaimRequest request, RecordedAnswer answer) implements ClaimDecision {}

    /**
     * The key was claimed before and no outcome is known; the call may or may not have run.
     *
     * @param request the call
     */
    record OutcomeUnknown(ClaimRequest request) implements ClaimDecision {}

    /**
     * The key was used before with another body; this call did not run.
     *
     * @param request the call
     */
    record KeyReused(ClaimRequest request) implements ClaimDecision {}

    /**
     * The claim could not be made; the call did not run.
     *
     * @param request the call
     * @param comeBackAfter when to ask again
     * @param detail what stood in the way
     */
    record NotClaimed(ClaimRequest request, Duration retryAfter, String detail) implements ClaimDecision {}
}
