package org.aspenmoor.internal.serving;

import java.util.Optional;

/**
 * Recent intervals between events of answers from one engine. The values measured by several entries can be added.
 *
 * @param events the number of events; older events have a lower weight
 * @param seconds the sum of the intervals before these events, with the same weights
 */
public record EventIntervals(double events, double seconds) {
    /** No event was seen. */
    public static final EventIntervals NONE = new EventIntervals(0, 0);

    /** Fewer events are not enough to estimate the interval. */
    private static final double MIN_EVENTS = 2;

    EventIntervals plus(EventIntervals other) {
        return new EventIntervals(events + other.events, seconds + other.seconds);
    }

    EventIntervals scaled(double weight) {
        return new EventIntervals(events * weight, seconds * weight);
    }

    /** Returns the average seconds between two events; empty if too few events were seen. */
    public Optional<Double> secondsPerEvent() {
        return events < MIN_EVENTS ? Optional.empty() : Optional.of(seconds / events);
    }
}
