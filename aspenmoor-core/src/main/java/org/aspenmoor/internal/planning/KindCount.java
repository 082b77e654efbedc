package org.aspenmoor.internal.planning;

/**
 * The requests of one kind that arrived during an interval.
 *
 * @param kind the kind
 * @param requests the number of requests, including refused ones
 * @param promptTokens the total of their prompt tokens that are not cached
 * @param outputTokens the total of their expected answer tokens
 * @param refused the number of refused requests
 */
public record KindCount(String kind, long requests, long promptTokens, long outputTokens, long refused) {}
