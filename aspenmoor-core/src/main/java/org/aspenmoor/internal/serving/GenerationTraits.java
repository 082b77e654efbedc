package org.aspenmoor.internal.serving;

/**
 * Properties of the model engines of a service.
 *
 * @param cacheTokens how many tokens of running requests and cached prompts fit in an engine's memory
 */
public record GenerationTraits(int cacheTokens) {}
