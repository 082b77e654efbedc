package org.aspenmoor.internal.store.client;

/**
 * Store calls of this process since its start.
 *
 * @param reads reads and lists sent, repetitions included
 * @param writes creates, updates and deletes sent
 * @param watchesOpened watches begun
 * @param watchesWaiting watches that wait now
 * @param conflicts writes whose condition did not hold
 * @param unavailable calls to which the store did not answer or said that it did nothing
 * @param unknown writes whose answer was lost
 * @param overBudget calls not sent because the budget was spent
 */
public record CallCounts(
        long reads,
        long writes,
        long watchesOpened,
        long watchesWaiting,
        long conflicts,
        long unavailable,
        long unknown,
        long overBudget) {}
