package org.aspenmoor.internal.bench.replay.customer;

/**
 * A period in which an entry cannot reach the store; it still reaches engines and other entries.
 *
 * @param entry index of the entry, from 0
 * @param startSeconds start, in seconds of the day
 * @param durationSeconds length of the period
 */
public record StoreOutage(int entry, double startSeconds, double durationSeconds) {}
