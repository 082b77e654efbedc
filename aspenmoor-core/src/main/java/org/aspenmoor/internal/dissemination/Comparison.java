package org.aspenmoor.internal.dissemination;

/**
 * A comparison with a neighbour that waits for its answer.
 *
 * @param number repeated in the answer
 * @param peer who was asked
 * @param askedAt when, on the monotonic clock
 */
record Comparison(long number, String peer, long askedAt) {}
