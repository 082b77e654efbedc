package org.aspenmoor.internal.bench.policy.run;

/**
 * A point of the time series of a run. Work and goodput are those since the previous point.
 *
 * @param seconds time of the point, from the start of the run
 * @param prefillFraction fraction of prefill in the engine time of the requests that arrived
 * @param prefillEngines number of ready engines in the prefill role
 * @param decodeEngines number of ready engines in the decode role
 * @param wholeEngines number of ready engines that serve both prefill and decode
 * @param weightedGoodput sum of the weights answered in time, per second
 */
public record TimelinePoint(
        double seconds,
        double prefillFraction,
        int prefillEngines,
        int decodeEngines,
        int wholeEngines,
        double weightedGoodput) {}
