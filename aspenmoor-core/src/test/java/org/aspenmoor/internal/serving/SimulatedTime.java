package org.aspenmoor.internal.serving;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A manual clock with the actions that are due on it; times are in nanoseconds. */
public final class SimulatedTime {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private long now;
    private long eventCount;

    public SimulatedTime(long start) {
        this.now = start;
    }

    public long now() {
        return now;
    }

    /** Runs an action at the given time; actions of the same time run in the order in which they were added. */
    public void at(long time, Runnable action) {
        events.add(new Event(time, eventCount++, action));
    }

    /** Runs the actions that are due before the given time. */
    public void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at() < end) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
    }

    private record Event(long at, long number, Runnable action) {}
}
