package org.aspenmoor.internal.authority;

import java.time.Duration;

/**
 * The timing of the slot of an engine: the exclusive role of the agent that gives orders to it, and its order lease.
 *
 * <p>An agent takes an engine over with one write when it starts. The write that records an order also acquires the
 * order lease, which ends when the outcome of that order is recorded. The lease is never renewed, so an engine without
 * an order causes no load on the store.
 *
 * <p>An agent that does not know that it was replaced would accept streams while its successor orders a change.
 * Therefore an agent reads its record regularly, accepts no work after a pause until it has written to the record, and
 * a successor waits before its first order until its predecessor has had two occasions to detect the replacement.
 *
 * @param orderLeaseDuration how long another agent waits after it first saw an order with unknown outcome
 * @param orderTimeout the time after which a connection that carries an order is closed
 * @param margin how much longer than the timeout an order may be in transit
 * @param delayAfterFailure the wait before a failed order is sent again
 * @param confirmInterval the interval at which an agent reads whether it was replaced
 * @param pauseThreshold the shortest standstill of a process that counts as a pause
 */
public record SlotTimings(
        Duration orderLeaseDuration,
        Duration orderTimeout,
        Duration margin,
        Duration delayAfterFailure,
        Duration confirmInterval,
        Duration pauseThreshold) {
    /**
     * An order lease of 45 s, order timeout 10 s, margin 5 s, 5 s wait after a failure, confirmation every 15 s, pauses
     * detected from 5 s.
     */
    public static final SlotTimings DEFAULT = new SlotTimings(
            Duration.ofSeconds(45),
            Duration.ofSeconds(10),
            Duration.ofSeconds(5),
            Duration.ofSeconds(5),
            Duration.ofSeconds(15),
            Duration.ofSeconds(5));

    /** Returns the maximum time between the last check before an order is sent and its arrival. */
    public Duration maxTransitTime() {
        return orderTimeout.plus(margin);
    }

    /** Returns how long a successor waits after the takeover before it sends its first order. */
    public Duration takeoverDelay() {
        return confirmInterval.multipliedBy(2).plus(pauseThreshold);
    }

    /** Returns how long after sending the record write the order may still be sent. */
    public Duration sendWindow() {
        return orderLeaseDuration.minus(maxTransitTime());
    }
}
