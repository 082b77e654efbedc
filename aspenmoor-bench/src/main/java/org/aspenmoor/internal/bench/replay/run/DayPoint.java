package org.aspenmoor.internal.bench.replay.run;

/**
 * One second of a replayed day.
 *
 * @param second when
 * @param callers callers who asked in it
 * @param earnedFraction part of what they were worth that was earned
 * @param queuedRequests requests that wait at entries at its end
 * @param prefillEngines engines that compute prompts
 * @param decodeEngines engines that generate answers
 */
public record DayPoint(
        int second, int callers, double earnedFraction, int queuedRequests, int prefillEngines, int decodeEngines) {}
