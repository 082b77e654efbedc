package org.aspenmoor.internal.bench.replay.run;

/**
 * Result of one request kind on a replayed day.
 *
 * @param kind name of the kind
 * @param callers number of callers
 * @param earnedFraction fraction of the value of these callers that was earned
 * @param onTimeFraction fraction that received an answer on time
 * @param servedFraction fraction that received a complete answer
 * @param refusedFraction fraction that was refused
 * @param failedFraction fraction that failed without a complete answer
 * @param largestServedFraction fraction of the largest tenth of the requests that received a complete answer
 */
public record KindResult(
        String kind,
        int callers,
        double earnedFraction,
        double onTimeFraction,
        double servedFraction,
        double refusedFraction,
        double failedFraction,
        double largestServedFraction) {}
