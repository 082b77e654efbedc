package org.aspenmoor.internal.dissemination;

/**
 * A comparison with a neighbour that waits for its answer.
 *
 * @param id repeated in the answer
 * @param peer who was asked
 * @param sentAtNanos when, on the monotonic clock
 */
record PendingComparison(long id, String peer, long sentAtNanos) {}
