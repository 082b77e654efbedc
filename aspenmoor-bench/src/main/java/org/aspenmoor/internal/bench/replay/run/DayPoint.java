package org.aspenmoor.internal.bench.replay.run;

/**
 * One second of a replayed day.
 *
 * @param second when
 * @param asked callers who asked in it
 * @param earned part of what they were worth that was earned
 * @param waiting requests that wait at entries at its end
 * @param promptEngines engines that compute prompts
 * @param answerEngines engines that generate answers
 */
public record DayPoint(int second, int asked, double earned, int waiting, int promptEngines, int answerEngines) {}
