package org.aspenmoor.internal.bench.replay.customer;

import java.util.List;

/**
 * Number, limits and performance of a customer's engines.
 *
 * @param count number of engines
 * @param slots number of answers that an engine generates concurrently
 * @param queueLimit maximum number of requests queued at an engine
 * @param cacheTokens number of tokens that an engine's memory holds
 * @param stepSeconds duration of a decode step with an empty batch
 * @param stepSecondsPerSequence time that each answer in the batch adds to a step
 * @param stepSecondsPerThousandTokens time that each thousand tokens in memory add to a step
 * @param prefillTokensPerSecond prompt tokens prefilled per second, without the cost of attention
 * @param attentionSecondsPerMegapair time that attention adds for each million pairs of tokens
 * @param firstEventSeconds delay before the first event of an answer, in addition to prefill
 * @param tokensPerEvent decode steps between two events of an answer
 * @param chunkTokens prompt tokens prefilled between two decode steps
 * @param fixedTransferSeconds fixed part of the duration of a cache transfer
 * @param transferTokensPerSecond cached tokens transferred per second
 * @param roleChangeSeconds time that an empty engine takes to change its role
 * @param slowdowns slowdown factors, assigned to the engines in turn (1 = as fast as this profile); empty for none
 */
public record EngineProfile(
        int count,
        int slots,
        int queueLimit,
        int cacheTokens,
        double stepSeconds,
        double stepSecondsPerSequence,
        double stepSecondsPerThousandTokens,
        double prefillTokensPerSecond,
        double attentionSecondsPerMegapair,
        double firstEventSeconds,
        double tokensPerEvent,
        int chunkTokens,
        double fixedTransferSeconds,
        double transferTokensPerSecond,
        double roleChangeSeconds,
        List<Double> slowdowns) {
    private static final double PAIRS_PER_MEGAPAIR = 1e6;

    /**
     * Returns a copy with the compute speed multiplied by a factor. Transfers and role changes take as long as before.
     */
    public EngineProfile withSpeedFactor(double factor) {
        return new EngineProfile(
                count,
                slots,
                queueLimit,
                cacheTokens,
                stepSeconds / factor,
                stepSecondsPerSequence / factor,
                stepSecondsPerThousandTokens / factor,
                prefillTokensPerSecond * factor,
                attentionSecondsPerMegapair / factor,
                firstEventSeconds / factor,
                tokensPerEvent,
                chunkTokens,
                fixedTransferSeconds,
                transferTokensPerSecond,
                roleChangeSeconds,
                slowdowns);
    }

    /** Returns a copy with other slowdown factors. */
    EngineProfile withSlowdowns(List<Double> newSlowdowns) {
        return new EngineProfile(
                count,
                slots,
                queueLimit,
                cacheTokens,
                stepSeconds,
                stepSecondsPerSequence,
                stepSecondsPerThousandTokens,
                prefillTokensPerSecond,
                attentionSecondsPerMegapair,
                firstEventSeconds,
                tokensPerEvent,
                chunkTokens,
                fixedTransferSeconds,
                transferTokensPerSecond,
                roleChangeSeconds,
                newSlowdowns);
    }

    /** Returns the time to prefill new tokens that follow a number of cached tokens, in seconds. */
    public double prefillSeconds(double newTokens, double cachedTokens) {
        double megapairs = newTokens * (cachedTokens + newTokens / 2) / PAIRS_PER_MEGAPAIR;
        return newTokens / prefillTokensPerSecond + megapairs * attentionSecondsPerMegapair;
    }

    /** Returns the duration of a decode step, given the number of sequences in the batch and their tokens in memory. */
    public double stepSeconds(int sequences, double tokens) {
        return stepSeconds + stepSecondsPerSequence * sequences + stepSecondsPerThousandTokens * tokens / 1000;
    }

    /** Returns the duration of a cache transfer of a number of tokens, in seconds. */
    public double cacheTransferSeconds(double tokens) {
        return fixedTransferSeconds + tokens / transferTokensPerSecond;
    }

    /** Returns the slowdown factor of an engine (1 = as fast as this profile). */
    public double slowdown(int engine) {
        return slowdowns.isEmpty() ? 1 : slowdowns.get(engine % slowdowns.size());
    }
}
