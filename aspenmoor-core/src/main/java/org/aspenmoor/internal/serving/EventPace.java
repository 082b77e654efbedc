package org.aspenmoor.internal.serving;

import java.util.Optional;

/**
 * How long an engine lately took from one event of an answer to the next. What several entries have seen adds up.
 *
 * @param events how many events were seen; older ones count for less
 * @param seconds the pauses before them, added up with the same weights
 */
public record EventPace(double events, double seconds) {
    /** No event was seen. */
    public static final EventPace NONE = new EventPace(0, 0);

    /** Fewer events say nothing of an engine. */
    private static final double LEAST_EVENTS = 2;

    EventPace plus(EventPace other) {
        return new EventPace(events + other.events, seconds + other.seconds);
    }

    EventPace weighted(double weight) {
        return new EventPace(events * weight, seconds * weight);
    }

    /** Returns the seconds from one event to the next; empty where too few were seen. */
    public Optional<Double> secondsPerEvent() {
        return events < LEAST_EVENTS ? Optional.empty() : Optional.of(seconds / events);
    }
}
