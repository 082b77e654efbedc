package org.aspenmoor.internal.dissemination;

import java.time.Duration;

/**
 * The pace and the bounds of one process's document exchange.
 *
 * @param comparePeriod the mean time between two comparisons with a neighbour
 * @param answerTimeout after which the next neighbour is asked instead, and a wanted document asked for again
 * @param mostOutstandingAsks how many documents are asked for at once
 * @param mostWanted how many documents wait to be asked for
 * @param mostBucketsAtOnce how many buckets of lines one message holds
 */
public record ExchangeSettings(
        Duration comparePeriod,
        Duration answerTimeout,
        int mostOutstandingAsks,
        int mostWanted,
        int mostBucketsAtOnce) {
    private static final Duration DEFAULT_PERIOD = Duration.ofSeconds(4);
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(1);
    private static final int DEFAULT_ASKS = 32;
    private static final int DEFAULT_WANTED = 512;
    private static final int DEFAULT_BUCKETS = 4;

    /** Returns the settings that the planned fleet was reckoned with. */
    public static ExchangeSettings defaults() {
        return new ExchangeSettings(DEFAULT_PERIOD, DEFAULT_TIMEOUT, DEFAULT_ASKS, DEFAULT_WANTED, DEFAULT_BUCKETS);
    }
}
