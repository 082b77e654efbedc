package org.aspenmoor.internal.admission;

/**
 * Expected lengths of a request.
 *
 * @param promptTokens the mean prompt length
 * @param outputTokens the mean answer length
 * @param p90OutputTokens the estimated 90th percentile of the answer length
 * @param cachedFraction the fraction of the prompt tokens that were cached, 0 to 1
 */
public record LengthEstimate(double promptTokens, double outputTokens, double p90OutputTokens, double cachedFraction) {}
