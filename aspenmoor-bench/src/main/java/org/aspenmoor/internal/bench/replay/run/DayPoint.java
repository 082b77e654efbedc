package org.aspenmoor.internal.bench.replay.run;

/**
 * One second of a replayed day.
 *
 * @param second the second, counted from the start of the day
 * @param callers number of callers whose first attempt was in this second
 * @param earnedFraction fraction of the value of these callers that was earned
 * @param queuedRequests number of requests queued at all entries when the point was recorded
 * @param prefillEngines number of engines in the prefill role
 * @param decodeEngines number of engines in the decode role
 */
public record DayPoint(
        int second, int callers, double earnedFraction, int queuedRequests, int prefillEngines, int decodeEngines) {}
