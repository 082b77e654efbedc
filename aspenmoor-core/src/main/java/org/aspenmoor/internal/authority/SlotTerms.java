package org.aspenmoor.internal.authority;

import java.time.Duration;

/**
 * How the exclusive right to give one engine orders is held.
 *
 * <p>An agent takes an engine over with one write when it starts. The right to send an order is taken with the write
 * that records the order and ends when that order is settled; it is never renewed, and an engine without an order costs
 * the store nothing.
 *
 * @param length how long another agent waits after it first saw an unsettled order
 * @param orderTimeout after which a connection that carries an order is closed
 * @param margin how much longer than the time-out an order may be on its way
 * @param pauseAfterFailure how long to wait before an order that failed is given again
 */
public record SlotTerms(Duration length, Duration orderTimeout, Duration margin, Duration pauseAfterFailure) {
    /** A right of 45 s, order time-outs of 10 s, a margin of 5 s, 5 s after a failure. */
    public static final SlotTerms DEFAULT =
            new SlotTerms(Duration.ofSeconds(45), Duration.ofSeconds(10), Duration.ofSeconds(5), Duration.ofSeconds(5));

    /** Returns the longest time between the last check before an order is sent and its arrival. */
    public Duration longestOnTheWire() {
        return orderTimeout.plus(margin);
    }

    /** Returns how long after sending the record an order may still be sent. */
    public Duration sendable() {
        return length.minus(longestOnTheWire());
    }
}
