package org.aspenmoor.internal.claim;

import java.time.Duration;

/** The decision on a claim, by the content of the store. */
public sealed interface ClaimDecision {
    /** Returns the call whose key was to be claimed. */
    ClaimRequest request();

    /**
     * The call may be dispatched, once.
     *
     * @param request the call
     * @param ticket the ticket with which its outcome is recorded
     */
    record Granted(ClaimRequest request, ClaimTicket ticket) implements ClaimDecision {}

    /**
     * The call has run before.
     *
     * @param request the call
     * @param answer the recorded answer
     */
    record AlreadyAnswered(ClaimRequest request, RecordedAnswer answer) implements ClaimDecision {}

    /**
     * The key was claimed before and no outcome is recorded; the call may or may not have run.
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
     * The key could not be claimed; the call did not run.
     *
     * @param request the call
     * @param retryAfter how long the caller should wait before a retry
     * @param detail why the key could not be claimed
     */
    record NotClaimed(ClaimRequest request, Duration retryAfter, String detail) implements ClaimDecision {}
}
