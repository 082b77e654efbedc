package org.aspenmoor.internal.store.client;

/**
 * The numbers of store calls of this process since its start.
 *
 * @param reads reads and lists sent, including retries
 * @param writes creates, updates and deletes sent
 * @param watchesOpened watches opened
 * @param openWatches watches that are open now
 * @param conflicts writes whose condition did not hold
 * @param unavailable calls to which the store did not respond, or which it reported as not executed
 * @param unknownOutcomes writes whose response was lost
 * @param overBudget calls not sent because the call budget was used up
 */
public record CallCounts(
        long reads,
        long writes,
        long watchesOpened,
        long openWatches,
        long conflicts,
        long unavailable,
        long unknownOutcomes,
        long overBudget) {}
