package org.aspenmoor.internal.serving;

import java.util.ArrayDeque;
import java.util.Deque;

/** How many requests left a line within the last second. */
final class DepartureRate {
    /** Bursts last for seconds; a longer window would tell of the time before them. */
    private static final long WINDOW_NANOSECONDS = 1_000_000_000L;

    private final Deque<Long> departures = new ArrayDeque<>();

    void add(long now) {
        departures.addLast(now);
        expire(now);
    }

    double perSecond(long now) {
        expire(now);
        return departures.size();
    }

    private void expire(long now) {
        while (!departures.isEmpty() && now - departures.peekFirst() > WINDOW_NANOSECONDS) {
            departures.removeFirst();
        }
    }
}
