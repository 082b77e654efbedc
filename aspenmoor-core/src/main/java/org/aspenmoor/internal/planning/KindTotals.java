package org.aspenmoor.internal.planning;

/**
 * Totals of one kind.
 *
 * @param requests the number of requests
 * @param promptTokens the number of prompt tokens
 * @param outputTokens the number of answer tokens
 */
record KindTotals(double requests, double promptTokens, double outputTokens) {
    static final KindTotals NONE = new KindTotals(0, 0, 0);

    KindTotals plus(KindTotals other) {
        return new KindTotals(
                requests + other.requests, promptTokens + other.promptTokens, outputTokens + other.outputTokens);
    }
}
