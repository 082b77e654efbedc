package org.aspenmoor.internal.admission;

/**
 * Waiting work that was given up before it started.
 *
 * @param work the work
 * @param refusal what its caller is told
 */
public record EvictedWork(WaitingWork work, AdmissionDecision.Refused refusal) {}
