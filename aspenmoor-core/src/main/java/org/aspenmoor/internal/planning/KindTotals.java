package org.aspenmoor.internal.planning;

/**
 * Sums over one kind.
 *
 * @param requests requests
 * @param promptTokens prompt tokens
 * @param outputTokens answer tokens
 */
record KindTotals(double requests, double promptTokens, double outputTokens) {
    static final KindTotals NONE = new KindTotals(0, 0, 0);

    KindTotals plus(KindTotals other) {
        return new KindTotals(
                requests + other.requests, promptTokens + other.promptTokens, outputTokens + other.outputTokens);
    }
}
