package org.aspenmoor.internal.serving;

import java.time.Duration;

/**
 * What the model engines of one service can do.
 *
 * @param cacheTokens how many tokens of running requests and cached prompts an engine's memory holds
 * @param handleLifetime how long an engine keeps a computed prompt that nobody has fetched
 */
public record GenerationTraits(int cacheTokens, Duration handleLifetime) {}
