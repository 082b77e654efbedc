package org.aspenmoor.internal.planning;

/**
 * What arrived of one kind.
 *
 * @param kind the kind
 * @param requests how many requests, refused ones included
 * @param promptTokens their prompt tokens that no cache covers
 * @param outputTokens their expected answer tokens
 * @param refused how many of them were refused
 */
public record KindCount(String kind, long requests, long promptTokens, long outputTokens, long refused) {}
