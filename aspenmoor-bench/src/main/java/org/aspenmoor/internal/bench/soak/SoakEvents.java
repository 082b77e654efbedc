package org.aspenmoor.internal.bench.soak;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.aspenmoor.internal.time.ManualTimeSource;

/** What will happen at a known time; moves the clock from one such moment to the next. */
final class SoakEvents {
    private final ManualTimeSource time;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanoseconds).thenComparingLong(Event::sequence));
    private long sequence;

    SoakEvents(ManualTimeSource time) {
        this.time = time;
    }

    void schedule(Duration delay, Runnable action) {
        sequence++;
        events.add(new Event(time.monotonicNanos() + delay.toNanos(), sequence, action));
    }

    void advance(Duration step) {
        long target = time.monotonicNanos() + step.toNanos();
        while (!events.isEmpty() && events.peek().atNanoseconds() <= target) {
            Event next = events.remove();
            moveTo(next.atNanoseconds());
            next.action().run();
        }
        moveTo(target);
    }

    private void moveTo(long nanoseconds) {
        long step = nanoseconds - time.monotonicNanos();
        if (step > 0) {
            time.advanceNanos(step);
        }
    }

    /** One thing that will happen. */
    private record Event(long atNanoseconds, long sequence, Runnable action) {}
}
