package org.aspenmoor.internal.dissemination;

import java.time.Duration;

/**
 * The intervals and limits of the document exchange of one process.
 *
 * @param comparePeriod the mean time between two comparisons with a neighbour
 * @param answerTimeout the time after which the next neighbour is compared with instead, and an unanswered fetch is
 *     dropped so that the document can be requested again
 * @param maxOutstandingFetches the maximum number of documents requested at the same time
 * @param maxWaitingFetches the maximum number of documents waiting to be requested
 * @param maxBucketsPerMessage the maximum number of buckets listed in one message
 */
public record ExchangeSettings(
        Duration comparePeriod,
        Duration answerTimeout,
        int maxOutstandingFetches,
        int maxWaitingFetches,
        int maxBucketsPerMessage) {
    private static final Duration DEFAULT_PERIOD = Duration.ofSeconds(4);
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(1);
    private static final int DEFAULT_OUTSTANDING = 32;
    private static final int DEFAULT_WAITING = 512;
    private static final int DEFAULT_BUCKETS = 4;

    /** Returns the default settings, on which the traffic calculation of the planned fleet is based. */
    public static ExchangeSettings defaults() {
        return new ExchangeSettings(
                DEFAULT_PERIOD, DEFAULT_TIMEOUT, DEFAULT_OUTSTANDING, DEFAULT_WAITING, DEFAULT_BUCKETS);
    }
}
