package org.aspenmoor.internal.bench.replay.customer;

/**
 * A time in which an engine is gone, with all that it had.
 *
 * @param engine its number
 * @param fromSeconds when it goes
 * @param seconds after how long an empty one is back
 */
public record EngineLoss(int engine, double fromSeconds, double seconds) {}
