package org.aspenmoor.internal.admission;

/**
 * A request that was removed from the queue before it started.
 *
 * @param request the request
 * @param refusal the refusal that is sent to the caller
 */
public record EvictedRequest(WaitingRequest request, AdmissionDecision.Refused refusal) {}
