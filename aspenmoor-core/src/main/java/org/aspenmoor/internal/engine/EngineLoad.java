package org.aspenmoor.internal.engine;

/**
 * The load that an engine reported.
 *
 * @param sequence increases with every report, so that an outdated report that arrives late is detected
 * @param queuedPrefillTokens the number of prompt tokens that are waiting or being computed
 * @param runningSequences the number of requests that are generating
 * @param maxSequences the maximum number of requests that can generate at the same time
 * @param freeCachePieces the number of free pieces of cache memory
 * @param totalCachePieces the total number of pieces of cache memory
 */
public record EngineLoad(
        long sequence,
        long queuedPrefillTokens,
        int runningSequences,
        int maxSequences,
        int freeCachePieces,
        int totalCachePieces) {}
