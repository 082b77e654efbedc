package org.aspenmoor.internal.settings;

/**
 * Bounds on what callers may send and how much waits.
 *
 * @param bodyBytes longest request body
 * @param headerBytes longest request head
 * @param answerBytes longest answer of a plain service
 * @param waitingRequests most requests waiting for an engine
 * @param chunkCredit most chunks of one answer held for a slow reader
 */
public record CallerLimits(int bodyBytes, int headerBytes, int answerBytes, int waitingRequests, int chunkCredit) {}
