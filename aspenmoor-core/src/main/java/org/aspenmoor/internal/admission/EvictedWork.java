package org.aspenmoor.internal.admission;

/* * A request that was removed from the queue before it started.
 *
 * @param work the request
 * @param refusal the refusal that is sent to the caller
 */
public record EvictedWork(WaitingWork work, AdmissionDecision.Refused refusal) {}
