package org.aspenmoor.internal.serving;

import java.util.ArrayDeque;
import java.util.Deque;

/** Counts the requests that were dispatched from a queue within the last second. */
final class DispatchRate {
    /** Bursts last for seconds; a longer window would include the time before the burst. */
    private static final long WINDOW_NANOSECONDS = 1_000_000_000L;

    private final Deque<Long> dispatchTimes = new ArrayDeque<>();

    void add(long now) {
        dispatchTimes.addLast(now);
        expire(now);
    }

    double perSecond(long now) {
        expire(now);
        return dispatchTimes.size();
    }

    private void expire(long now) {
        while (!dispatchTimes.isEmpty() && now - dispatchTimes.peekFirst() > WINDOW_NANOSECONDS) {
            dispatchTimes.removeFirst();
        }
    }
}
