package org.aspenmoor.internal.bench.replay.customer;

/**
 * A time in which an engine is gone, with all that it had.
 *
 * @param engine its number
 * @param startSeconds when it goes
 * @param durationSeconds after how long an empty one is back
 */
public record EngineOutage(int engine, double startSeconds, double durationSeconds) {}
