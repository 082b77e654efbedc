package org.aspenmoor.internal.bench.replay.customer;

import java.util.List;

/**
 * What a customer's engines can do.
 *
 * @param count how many there are
 * @param slots how many answers one generates at once
 * @param queue how many requests one lets wait
 * @param cacheTokens how many tokens its memory holds
 * @param stepSeconds one step of an empty batch
 * @param stepSecondsPerSequence what each answer adds to a step
 * @param stepSecondsPerThousandTokens what each thousand tokens in memory add to a step
 * @param promptTokensPerSecond prompt tokens computed a second
 * @param secondsPerMegapair what attention adds for each million pairs of tokens
 * @param firstSeconds from the begin of an answer to its first event, beside computing
 * @param tokensPerEvent how many steps lie between two events
 * @param chunkTokens prompt tokens computed between two steps
 * @param transferSeconds the fixed part of a transfer of computed tokens
 * @param transferTokensPerSecond computed tokens moved a second
 * @param roleChangeSeconds how long an empty engine takes to change its role
 * @param slownesses by engine in turn, how many times longer than these figures it takes
 */
public record EngineFigures(
        int count,
        int slots,
        int queue,
        int cacheTokens,
        double stepSeconds,
        double stepSecondsPerSequence,
        double stepSecondsPerThousandTokens,
        double promptTokensPerSecond,
        double secondsPerMegapair,
        double firstSeconds,
        double tokensPerEvent,
        int chunkTokens,
        double transferSeconds,
        double transferTokensPerSecond,
        double roleChangeSeconds,
        List<Double> slownesses) {
    private static final double PAIRS_OF_MEGAPAIR = 1e6;

    /** Returns the figures of engines that work so many times as fast. */
    public EngineFigures faster(double times) {
        return new EngineFigures(
                count,
                slots,
                queue,
                cacheTokens,
                stepSeconds / times,
                stepSecondsPerSequence / times,
                stepSecondsPerThousandTokens / times,
                promptTokensPerSecond * times,
                secondsPerMegapair / times,
                firstSeconds / times,
                tokensPerEvent,
                chunkTokens,
                transferSeconds,
                transferTokensPerSecond,
                roleChangeSeconds,
                slownesses);
    }

    /** Returns the figures of engines that differ in speed as given. */
    EngineFigures withSlownesses(List<Double> otherSlownesses) {
        return new EngineFigures(
                count,
                slots,
                queue,
                cacheTokens,
                stepSeconds,
                stepSecondsPerSequence,
                stepSecondsPerThousandTokens,
                promptTokensPerSecond,
                secondsPerMegapair,
                firstSeconds,
                tokensPerEvent,
                chunkTokens,
                transferSeconds,
                transferTokensPerSecond,
                roleChangeSeconds,
                otherSlownesses);
    }

    /** Returns how long computing so many tokens behind so many kept ones takes. */
    public double promptSeconds(double computed, double kept) {
        double megapairs = computed * (kept + computed / 2) / PAIRS_OF_MEGAPAIR;
        return computed / promptTokensPerSecond + megapairs * secondsPerMegapair;
    }

    /** Returns how long one step over a batch takes. */
    public double stepSeconds(int sequences, double tokens) {
        return stepSeconds + stepSecondsPerSequence * sequences + stepSecondsPerThousandTokens * tokens / 1000;
    }

    /** Returns how long moving so many computed tokens takes. */
    public double movedSeconds(double tokens) {
        return transferSeconds + tokens / transferTokensPerSecond;
    }

    /** Returns how many times longer than these figures an engine takes. */
    public double slowness(int engine) {
        return slownesses.isEmpty() ? 1 : slownesses.get(engine % slownesses.size());
    }
}
