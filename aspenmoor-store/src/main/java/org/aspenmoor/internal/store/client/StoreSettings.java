package org.aspenmoor.internal.store.client;

import java.time.Duration;

/**
 * How the process talks to the store.
 *
 * @param connectTimeout how long a connection may take; nothing was sent when it runs out
 * @param callTimeout how long one call may take, from connecting to the last byte of the answer
 * @param readDeadline how long a read may take over all its attempts
 * @param firstBackoff the longest pause before the first repetition; doubles with each
 * @param mostBackoff the longest pause before any repetition
 * @param watchSilence after which a watch that hears nothing, not even a bookmark, counts as broken
 * @param callsPerSecond how many calls the process may make in the long run
 * @param mostCallsAtOnce how many calls it may make after a quiet time
 */
public record StoreSettings(
        Duration connectTimeout,
        Duration callTimeout,
        Duration readDeadline,
        Duration firstBackoff,
        Duration mostBackoff,
        Duration watchSilence,
        double callsPerSecond,
        int mostCallsAtOnce) {

    /** Returns settings for a store that answers in milliseconds. */
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

    /** Returns the same settings with another call budget. */
    public StoreSettings withBudget(double newCallsPerSecond, int newMostCallsAtOnce) {
        return new StoreSettings(
                connectTimeout,
                callTimeout,
                readDeadline,
                firstBackoff,
                mostBackoff,
                watchSilence,
                newCallsPerSecond,
                newMostCallsAtOnce);
    }
}
