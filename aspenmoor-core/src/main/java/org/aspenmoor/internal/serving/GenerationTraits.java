package org.aspenmoor.internal.serving;

/**
 * What the model engines of one service can do.
 *
 * @param cacheTokens how many tokens of running requests and cached prompts an engine's memory holds
 */
public record GenerationTraits(int cacheTokens) {}
