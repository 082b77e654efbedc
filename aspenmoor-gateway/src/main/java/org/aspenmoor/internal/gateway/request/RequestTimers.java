package org.aspenmoor.internal.gateway.request;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The timers of one request: its deadline, and further tries to place the rest of its stream. Confined to the event loop.
 */
final class RequestTimers {
    /** Pause before another try to place the rest of a stream, a fraction of the time for which callers wait. */
    private static final long RETRY_PAUSE_MILLISECONDS = 100;

    private final EventLoop eventLoop;
    private final List<Future<?>> timers = new ArrayList<>();

    RequestTimers(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    /** Runs the action after the time that is left until the deadline, or at once if it has passed. */
    void atDeadline(long nanosecondsLeft, Runnable action) {
        timers.add(eventLoop.schedule(action, Math.max(0, nanosecondsLeft), TimeUnit.NANOSECONDS));
    }

    /** Runs the action after a pause. */
    void retryLater(Runnable action) {
        timers.removeIf(Future::isDone);
        timers.add(eventLoop.schedule(action, RETRY_PAUSE_MILLISECONDS, TimeUnit.MILLISECONDS));
    }

    void cancel() {
        timers.forEach(timer -> timer.cancel(false));
    }
}
