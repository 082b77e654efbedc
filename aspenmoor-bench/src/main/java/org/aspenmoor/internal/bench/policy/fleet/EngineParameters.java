package org.aspenmoor.internal.bench.policy.fleet;

import org.aspenmoor.internal.routing.EngineSpeed;

/**
 * Parameters of fake engines; docs/POLICY.md gives the source of each figure.
 *
 * @param speed prefill, decode and transfer speeds
 * @param maxSequences maximum number of answers generated concurrently
 * @param cachePieces number of pieces of cache memory
 * @param pieceTokens number of tokens in a piece
 * @param roleChangeSeconds duration of a role change after the engine is empty
 * @param reportIntervalSeconds interval between load reports
 * @param reportLagSeconds delay until a load report arrives
 * @param cacheEventLossFraction fraction of cache events that are lost
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
    /** Returns the parameters of the built-in fleets. */
    public static EngineParameters defaults() {
        return new EngineParameters(EngineSpeed.defaults(), 32, 96, 2_000, 3, 0.5, 0.3, 0.02);
    }

    /** Returns a copy with the parameters multiplied by the factors of a variation. */
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
