package org.aspenmoor.internal.bench.replay.customer;

import java.util.List;

/**
 * What a customer's engines can do.
 *
 * @param count how many there are
 * @param slots how many answers one generates at once
 * @param queueLimit how many requests one lets wait
 * @param cacheTokens how many tokens its memory holds
 * @param stepSeconds one step of an empty batch
 * @param stepSecondsPerSequence what each answer adds to a step
 * @param stepSecondsPerThousandTokens what each thousand tokens in memory add to a step
 * @param prefillTokensPerSecond prompt tokens computed a second
 * @param attentionSecondsPerMegapair what attention adds for each million pairs of tokens
 * @param firstEventSeconds from the begin of an answer to its first event, beside computing
 * @param tokensPerEvent how many steps lie between two events
 * @param chunkTokens prompt tokens computed between two steps
 * @param fixedTransferSeconds the fixed part of a transfer of computed tokens
 * @param transferTokensPerSecond computed tokens moved a second
 * @param roleChangeSeconds how long an empty engine takes to change its role
 * @param slowdowns by engine in turn, how many times longer than these figures it takes
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

    /** Returns the figures of engines that work so many times as fast. */
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

    /** Returns the figures of engines that differ in speed as given. */
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

    /** Returns how long computing so many tokens behind so many kept ones takes. */
    public double prefillSeconds(double newTokens, double cachedTokens) {
        double megapairs = newTokens * (cachedTokens + newTokens / 2) / PAIRS_PER_MEGAPAIR;
        return newTokens / prefillTokensPerSecond + megapairs * attentionSecondsPerMegapair;
    }

    /** Returns how long one step over a batch takes. */
    public double stepSeconds(int sequences, double tokens) {
        return stepSeconds + stepSecondsPerSequence * sequences + stepSecondsPerThousandTokens * tokens / 1000;
    }

    /** Returns how long moving so many computed tokens takes. */
    public double cacheTransferSeconds(double tokens) {
        return fixedTransferSeconds + tokens / transferTokensPerSecond;
    }

    /** Returns how many times longer than these figures an engine takes. */
    public double slowdown(int engine) {
        return slowdowns.isEmpty() ? 1 : slowdowns.get(engine % slowdowns.size());
    }
}
