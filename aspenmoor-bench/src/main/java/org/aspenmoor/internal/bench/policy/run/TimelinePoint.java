package org.aspenmoor.internal.bench.policy.run;

/**
 * One interval of a run.
 *
 * @param seconds its start
 * @param prefillFraction the share of prefill in the work that arrived
 * @param prefillEngines ready engines that compute prompts
 * @param decodeEngines ready engines that generate answers
 * @param wholeEngines ready engines that do both
 * @param weightedGoodput the weights answered in time during the interval, a second
 */
public record TimelinePoint(
        double seconds,
        double prefillFraction,
        int prefillEngines,
        int decodeEngines,
        int wholeEngines,
        double weightedGoodput) {}
