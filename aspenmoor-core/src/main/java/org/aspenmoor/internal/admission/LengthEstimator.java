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
    private static final double MEMORY_REQUESTS = 64;
    private static final double FIRST_GUESS_SHARE = 0.25;
    private static final int GUESS_WITHOUT_LIMIT = 256;

    private final Map<String, SeenLengths> kinds = new HashMap<>();

    /** Notes the lengths of a request that was answered, and how much of its prompt a cache covered. */
    public void seen(String kind, int promptTokens, int cachedTokens, int outputTokens) {
        kinds.computeIfAbsent(kind, name -> new SeenLengths(MEMORY_REQUESTS))
                .add(promptTokens, cachedTokens, outputTokens);
    }

    /** Estimates a request of the kind whose answer may have at most so many tokens; 0 for no limit. */
    public LengthEstimate estimate(String kind, int longestOutputTokens) {
        SeenLengths seen = kinds.get(kind);
        if (seen == null) {
            double guess = longestOutputTokens > 0 ? longestOutputTokens * FIRST_GUESS_SHARE : GUESS_WITHOUT_LIMIT;
            return new LengthEstimate(0, guess, longestOutputTokens > 0 ? longestOutputTokens : 2 * guess, 0);
        }
        LengthEstimate estimate = seen.estimate();
        if (longestOutputTokens <= 0) {
            return estimate;
        }
        return new LengthEstimate(
                estimate.promptTokens(),
                Math.min(estimate.outputTokens(), longestOutputTokens),
                Math.min(estimate.highOutputTokens(), longestOutputTokens),
                estimate.cachedShare());
    }
}
