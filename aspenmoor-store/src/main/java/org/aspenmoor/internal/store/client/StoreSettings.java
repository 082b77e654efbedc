package org.aspenmoor.internal.store.client;

import java.time.Duration;

/**
 * Settings of the store client.
 *
 * @param connectTimeout the maximum time to connect; nothing was sent when it expires
 * @param callTimeout the maximum time of one call, from connecting to the last byte of the response
 * @param readDeadline the maximum time of a read over all its attempts
 * @param initialBackoff the upper bound of the delay before the first retry; it doubles with each retry
 * @param maxBackoff the upper bound of the delay before any retry
 * @param watchIdleTimeout the time without any data, not even a bookmark, after which a watch counts as broken
 * @param callsPerSecond the sustained rate of calls
 * @param maxBurstCalls the number of calls allowed in a burst after an idle period
 */
public record StoreSettings(
        Duration connectTimeout,
        Duration callTimeout,
        Duration readDeadline,
        Duration initialBackoff,
        Duration maxBackoff,
        Duration watchIdleTimeout,
        double callsPerSecond,
        int maxBurstCalls) {

    /** Returns settings for a store that responds within milliseconds. */
    public static StoreSettings defaults() {
        return new StoreSettings(
                Duration.ofMillis(500),
                Duration.ofSeconds(1),
                Duration.ofSeconds(2),
                Duration.ofMillis(50),
                Duration.ofSeconds(2),
                Duration.ofSeconds(15),
                20,
                40);
    }

    /** Returns a copy of these settings with another call budget. */
    public StoreSettings withBudget(double newCallsPerSecond, int newMaxBurstCalls) {
        return new StoreSettings(
                connectTimeout,
                callTimeout,
                readDeadline,
                initialBackoff,
                maxBackoff,
                watchIdleTimeout,
                newCallsPerSecond,
                newMaxBurstCalls);
    }
}
