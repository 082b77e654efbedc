package org.aspenmoor.internal.dissemination;

/**
 * A comparison with a neighbour that has not been answered yet.
 *
 * @param id identifies the comparison; the answer repeats it
 * @param peer the process that the comparison was sent to
 * @param sentAtNanos the time of sending, on the monotonic clock
 */
record PendingComparison(long id, String peer, long sentAtNanos) {}
