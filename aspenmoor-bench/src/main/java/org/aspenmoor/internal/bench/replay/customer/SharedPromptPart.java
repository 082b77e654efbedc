package org.aspenmoor.internal.bench.replay.customer;

/**
 * A part of prompts that requests share.
 *
 * @param tokens its length
 * @param variants how many different ones there are
 */
public record SharedPromptPart(LogNormalDistribution tokens, int variants) {}
