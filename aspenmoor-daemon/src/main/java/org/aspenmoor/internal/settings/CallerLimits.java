package org.aspenmoor.internal.settings;

/**
 * Limits on the requests of callers and on what is buffered for them.
 *
 * @param maxBodyBytes maximum size of a request body
 * @param maxHeaderBytes maximum size of a request head
 * @param maxAnswerBytes maximum size of an answer of a plain service
 * @param maxWaitingRequests maximum number of requests waiting for an engine
 * @param chunkCredit maximum number of chunks of one answer buffered for a slow caller
 */
public record CallerLimits(
        int maxBodyBytes, int maxHeaderBytes, int maxAnswerBytes, int maxWaitingRequests, int chunkCredit) {}
