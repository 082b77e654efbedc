package org.aspenmoor.internal.serving;

import java.util.Optional;

/**
 * How long an engine lately took from one event of an answer to the next. What several entries have seen adds up.
 *
 * @param events how many events were seen; older ones count for less
 * @param seconds the pauses before them, added up with the same weights
 */
public record EventIntervals(double events, double seconds) {
    /** No event was seen. */
    public static final EventIntervals NONE = new EventIntervals(0, 0);

    /** Fewer events say nothing of an engine. */
    private static final double MIN_EVENTS = 2;

    EventIntervals plus(EventIntervals other) {
        return new EventIntervals(events + other.events, seconds + other.seconds);
    }

    EventIntervals scaled(double weight) {
        return new EventIntervals(events * weight, seconds * weight);
    }

    /** Returns the seconds from one event to the next; empty where too few were seen. */
    public Optional<Double> secondsPerEvent() {
        return events < MIN_EVENTS ? Optional.empty() : Optional.of(seconds / events);
    }
}
