package org.aspenmoor.internal.serving;

/**
 * One part of a prompt. Requests that begin with the same parts share their computed cache.
 *
 * @param identity the same for the same text
 * @param tokens its length
 */
public record PromptPart(String identity, int tokens) {}
