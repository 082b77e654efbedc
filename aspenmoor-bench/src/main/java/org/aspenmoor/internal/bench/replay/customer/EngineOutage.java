package org.aspenmoor.internal.bench.replay.customer;

/**
 * A period in which an engine is down. Its jobs and its cache are lost.
 *
 * @param engine index of the engine, from 0
 * @param startSeconds start, in seconds of the day
 * @param durationSeconds time until the engine is up again, with an empty cache
 */
public record EngineOutage(int engine, double startSeconds, double durationSeconds) {}
