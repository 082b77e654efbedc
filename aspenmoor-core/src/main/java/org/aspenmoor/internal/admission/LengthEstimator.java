package org.aspenmoor.internal.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates lengths of prompts and answers for each kind from those seen.
 *
 * <p>Means and variances forget exponentially, so that a kind whose answers grow is followed within some dozens of
 * requests. Before any answer was seen, a quarter of the longest allowed one is assumed.
 */
public final class LengthEstimator {
    private static final double WINDOW_REQUESTS = 64;
    private static final double INITIAL_FRACTION_OF_MAX = 0.25;
    private static final int INITIAL_TOKENS_WITHOUT_MAX = 256;

    private final Map<String, LengthStatistics> statisticsByKind = new HashMap<>();

    /** Notes the lengths of a request that was answered, and how much of its prompt a cache covered. */
    public void observe(String kind, int promptTokens, int cachedTokens, int outputTokens) {
        statisticsByKind.computeIfAbsent(kind, name -> new LengthStatistics(WINDOW_REQUESTS))
                .add(promptTokens, cachedTokens, outputTokens);
    }

    /** Estimates a request of the kind whose answer may have at most so many tokens; 0 for no limit. */
    public LengthEstimate estimate(String kind, int maxOutputTokens) {
        LengthStatistics statistics = statisticsByKind.get(kind);
        if (statistics == null) {
            double initialTokens = maxOutputTokens > 0 ? maxOutputTokens * INITIAL_FRACTION_OF_MAX : INITIAL_TOKENS_WITHOUT_MAX;
            return new LengthEstimate(0, initialTokens, maxOutputTokens > 0 ? maxOutputTokens : 2 * initialTokens, 0);
        }
        LengthEstimate estimate = statistics.estimate();
        if (maxOutputTokens <= 0) {
            return estimate;
        }
        return new LengthEstimate(
                estimate.promptTokens(),
                Math.min(estimate.outputTokens(), maxOutputTokens),
                Math.min(estimate.p90OutputTokens(), maxOutputTokens),
                estimate.cachedFraction());
    }
}
