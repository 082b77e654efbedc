package org.aspenmoor.internal.bench.replay.customer;

/**
 * A part of prompts that requests share.
 *
 * @param tokens its length
 * @param identities how many different ones there are
 */
public record SharedPart(DrawnNumber tokens, int identities) {}
