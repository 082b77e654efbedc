package org.aspenmoor.internal.bench.policy.fleet;

import org.aspenmoor.internal.routing.EngineSpeed;

/**
 * How the fakes of engines behave; docs/POLICY.md gives the source of each figure.
 *
 * @param speed how fast they work
 * @param mostSequences how many answers are generated at once
 * @param cachePieces pieces of cache memory
 * @param pieceTokens tokens of one piece
 * @param roleChangeSeconds how long a change takes after the engine is empty
 * @param reportIntervalSeconds how often load is reported
 * @param reportLagSeconds how late a report arrives
 * @param cacheEventLossShare the share of cache events that is lost
 */
public record EngineParameters(
        EngineSpeed speed,
        int mostSequences,
        int cachePieces,
        int pieceTokens,
        double roleChangeSeconds,
        double reportIntervalSeconds,
        double reportLagSeconds,
        double cacheEventLossShare) {
    /** Returns the parameters of the built-in houses. */
    public static EngineParameters usual() {
        return new EngineParameters(EngineSpeed.defaults(), 32, 96, 2_000, 3, 0.5, 0.3, 0.02);
    }

    /** Returns the parameters with every time, the mixing slowdown and the lags multiplied. */
    public EngineParameters moved(ParameterMove move) {
        EngineSpeed moved = new EngineSpeed(
                speed.prefillTokensPerSecond() * move.prefill(),
                speed.decodeStepSeconds() / move.decode(),
                speed.decodeStepSecondsPerSequence() / move.decode(),
                speed.mixingSlowdown() * move.mixing(),
                speed.chunkTokens(),
                speed.transferSeconds(),
                speed.transferTokensPerSecond() * move.transfer());
        return new EngineParameters(
                moved,
                mostSequences,
                (int) (cachePieces * move.memory()),
                pieceTokens,
                roleChangeSeconds * move.change(),
                reportIntervalSeconds,
                reportLagSeconds * move.lag(),
                cacheEventLossShare);
    }
}
