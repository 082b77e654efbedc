package org.aspenmoor.internal.bench.policy.engine;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.aspenmoor.internal.time.ManualTimeSource;

/** Runs events in order of their time on a manual clock. Events with the same time run in the order they were added. */
public final class EventLoop {
    private static final double NANOSECONDS = 1e9;

    private final ManualTimeSource clock = new ManualTimeSource();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanoseconds).thenComparingLong(Event::sequence));
    private long addedEvents;

    /** Returns the current time in nanoseconds. */
    public long now() {
        return clock.monotonicNanos();
    }

    /** Returns the current time in seconds. */
    public double nowSeconds() {
        return now() / NANOSECONDS;
    }

    /** Schedules an action after a delay in seconds; a negative delay counts as none. */
    public void after(double seconds, Runnable action) {
        long at = now() + Math.max(0, (long) (seconds * NANOSECONDS));
        events.add(new Event(at, addedEvents++, action));
    }

    /** Runs all events up to and including a time in seconds; later events stay scheduled. */
    public void runUntil(double seconds) {
        long end = (long) (seconds * NANOSECONDS);
        while (!events.isEmpty() && events.peek().atNanoseconds() <= end) {
            Event event = events.poll();
            clock.advanceNanos(event.atNanoseconds() - now());
            event.action().run();
        }
    }

    private record Event(long atNanoseconds, long sequence, Runnable action) {}
}
