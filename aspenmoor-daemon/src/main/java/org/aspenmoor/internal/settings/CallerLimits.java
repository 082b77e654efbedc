package org.aspenmoor.internal.settings;

/**
 * Bounds on what callers may send and how much waits.
 *
 * @param maxBodyBytes longest request body
 * @param maxHeaderBytes longest request head
 * @param maxAnswerBytes longest answer of a plain service
 * @param maxWaitingRequests most requests waiting for an engine
 * @param chunkCredit most chunks of one answer held for a slow reader
 */
public record CallerLimits(
        int maxBodyBytes, int maxHeaderBytes, int maxAnswerBytes, int maxWaitingRequests, int chunkCredit) {}
