package org.aspenmoor.internal.admission;

/**
 * The lengths expected of a request.
 *
 * @param promptTokens the prompt
 * @param outputTokens the answer: the mean of what was seen
 * @param p90OutputTokens an answer length that nine in ten stay below
 * @param cachedFraction the share of prompts that caches cover
 */
public record LengthEstimate(double promptTokens, double outputTokens, double p90OutputTokens, double cachedFraction) {}
