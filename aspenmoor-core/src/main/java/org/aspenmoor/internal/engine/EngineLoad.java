package org.aspenmoor.internal.engine;

/**
 * An engine's load as it reported it.
 *
 * @param sequence counts up with every report, so that an older report that arrives late is seen
 * @param queuedPrefillTokens prompt tokens that wait or are being computed
 * @param runningSequences requests that generate now
 * @param mostSequences how many may generate at once
 * @param freeCachePieces free pieces of cache memory
 * @param allCachePieces all pieces of cache memory
 */
public record EngineLoad(
        long sequence,
        long queuedPrefillTokens,
        int runningSequences,
        int mostSequences,
        int freeCachePieces,
        int allCachePieces) {}
