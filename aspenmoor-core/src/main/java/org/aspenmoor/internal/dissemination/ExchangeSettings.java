package org.aspenmoor.internal.dissemination;

import java.time.Duration;

/**
 * The pace and the bounds of one process's document exchange.
 *
 * @param comparePeriod the mean time between two comparisons with a neighbour
 * @param answerTimeout after which the next neighbour is asked instead, and a wanted document asked for again
 * @param maxOutstandingFetches how many documents are asked for at once
 * @param maxWaitingFetches how many documents wait to be asked for
 * @param maxBucketsPerMessage how many buckets of lines one message holds
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

    /** Returns the settings that the planned fleet was reckoned with. */
    public static ExchangeSettings defaults() {
        return new ExchangeSettings(
                DEFAULT_PERIOD, DEFAULT_TIMEOUT, DEFAULT_OUTSTANDING, DEFAULT_WAITING, DEFAULT_BUCKETS);
    }
}
