package org.aspenmoor.internal.bench.replay.customer;

/**
 * A part of a prompt that several requests share.
 *
 * @param tokens length of the part
 * @param variants number of different contents of the part
 */
public record SharedPromptPart(LogNormalDistribution tokens, int variants) {}
