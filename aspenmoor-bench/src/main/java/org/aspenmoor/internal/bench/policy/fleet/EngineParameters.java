package org.aspenmoor.internal.bench.policy.fleet;

import org.aspenmoor.internal.routing.EngineSpeed;

/**
 * How the fakes of engines behave; docs/POLICY.md gives the source of each figure.
 *
 * @param speed how fast they work
 * @param maxSequences how many answers are generated at once
 * @param cachePieces pieces of cache memory
 * @param pieceTokens tokens of one piece
 * @param roleChangeSeconds how long a change takes after the engine is empty
 * @param reportIntervalSeconds how often load is reported
 * @param reportLagSeconds how late a report arrives
 * @param cacheEventLossFraction the share of cache events that is lost
 */
public record EngineParameters(
        EngineSpeed speed,
        int maxSequences,
        int cachePieces,
        int pieceTokens,
        double roleChangeSeconds,
        double reportIntervalSeconds,
        double reportLagSeconds,
        double cacheEventLossFraction) {
    /** Returns the parameters of the built-in houses. */
    public static EngineParameters defaults() {
        return new EngineParameters(EngineSpeed.usual(), 32, 96, 2_000, 3, 0.5, 0.3, 0.02);
    }

    /** Returns the parameters with every time, the mixing slowdown and the lags multiplied. */
    public EngineParameters with(ParameterVariation variation) {
        EngineSpeed variedSpeed = new EngineSpeed(
                speed.prefillTokensPerSecond() * variation.prefillFactor(),
                speed.decodeStepSeconds() / variation.decodeFactor(),
                speed.decodeStepSecondsPerSequence() / variation.decodeFactor(),
                speed.mixingSlowdown() * variation.mixingFactor(),
                speed.chunkTokens(),
                speed.transferSeconds(),
                speed.transferTokensPerSecond() * variation.transferFactor());
        return new EngineParameters(
                variedSpeed,
                maxSequences,
                (int) (cachePieces * variation.memoryFactor()),
                pieceTokens,
                roleChangeSeconds * variation.roleChangeFactor(),
                reportIntervalSeconds,
                reportLagSeconds * variation.reportLagFactor(),
                cacheEventLossFraction);
    }
}
