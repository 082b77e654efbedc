package org.aspenmoor.internal.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the lengths of prompts and answers of each kind from answered requests.
 *
 * <p>Means and variances are exponentially weighted and adapt to a change within some dozens of requests. Before the
 * first answer of a kind, a quarter of the maximum answer length is assumed.
 */
public final class LengthEstimator {
    private static final double WINDOW_REQUESTS = 64;
    private static final double INITIAL_FRACTION_OF_MAX = 0.25;
    private static final int INITIAL_TOKENS_WITHOUT_MAX = 256;

    private final Map<String, LengthStatistics> statisticsByKind = new HashMap<>();

    /** Records the lengths of an answered request and how many tokens of its prompt were cached. */
    public void observe(String kind, int promptTokens, int cachedTokens, int outputTokens) {
        statisticsByKind
                .computeIfAbsent(kind, name -> new LengthStatistics(WINDOW_REQUESTS))
                .add(promptTokens, cachedTokens, outputTokens);
    }

    /** Estimates a request of the kind with a maximum answer length in tokens; 0 means no maximum. */
    public LengthEstimate estimate(String kind, int maxOutputTokens) {
        LengthStatistics statistics = statisticsByKind.get(kind);
        if (statistics == null) {
            double initialTokens =
                    maxOutputTokens > 0 ? maxOutputTokens * INITIAL_FRACTION_OF_MAX : INITIAL_TOKENS_WITHOUT_MAX;
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
