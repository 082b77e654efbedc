package org.aspenmoor.internal.authority;

import java.time.Duration;

/**
 * How the exclusive right to give one engine orders is held.
 *
 * <p>An agent takes an engine over with one write when it starts. The right to send an order is taken with the write
 * that records the order and ends when that order is settled; it is never renewed, and an engine without an order costs
 * the store nothing.
 *
 * <p>An agent that was replaced without knowing it would let streams in while its successor orders a change. So an agent
 * reads its record now and then, lets nothing in after a pause until it has written to the record, and a successor
 * waits before its first order until its predecessor has had two occasions to notice.
 *
 * @param length how long another agent waits after it first saw an unsettled order
 * @param orderTimeout after which a connection that carries an order is closed
 * @param margin how much longer than the time-out an order may be on its way
 * @param pauseAfterFailure how long to wait before an order that failed is given again
 * @param confirmEvery how often an agent reads whether it was replaced
 * @param noticedPause how long a process may stand still until it counts as paused
 */
public record SlotTerms(
        Duration length,
        Duration orderTimeout,
        Duration margin,
        Duration pauseAfterFailure,
        Duration confirmEvery,
        Duration noticedPause) {
    /** A right of 45 s, order time-outs of 10 s, a margin of 5 s, 5 s after a failure; confirmed every 15 s. */
    public static final SlotTerms DEFAULT = new SlotTerms(
            Duration.ofSeconds(45),
            Duration.ofSeconds(10),
            Duration.ofSeconds(5),
            Duration.ofSeconds(5),
            Duration.ofSeconds(15),
            Duration.ofSeconds(5));

    /** Returns the longest time between the last check before an order is sent and its arrival. */
    public Duration longestOnTheWire() {
        return orderTimeout.plus(margin);
    }

    /** Returns how long a successor waits before its first order. */
    public Duration handover() {
        return confirmEvery.multipliedBy(2).plus(noticedPause);
    }

    /** Returns how long after sending the record an order may still be sent. */
    public Duration sendable() {
        return length.minus(longestOnTheWire());
    }
}
