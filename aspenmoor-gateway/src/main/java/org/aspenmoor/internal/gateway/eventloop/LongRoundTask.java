package org.aspenmoor.internal.gateway.eventloop;

import io.netty.channel.EventLoop;
import java.time.Duration;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Runs an urgent task between the steps of a long round of the event loop. Confined to the event loop.
 *
 * <p>A round handles everything that was ready when it began, and looks for nothing new until it is done. Without
 * processor time it can take longer than an urgent event may wait.
 */
public final class LongRoundTask {
    /** A fraction of the half second within which a server is to stop after its caller has disconnected. */
    public static final Duration MAX_DISCONNECT_DELAY = Duration.ofMillis(100);

    private final EventLoop eventLoop;
    private final TimeSource time;
    private final Duration maxDelay;
    private final Runnable task;
    private boolean inRound;
    private long lastRunNanos;

    /**
     * Creates an instance.
     *
     * @param maxDelay how long the task may be overdue, not counting a single step
     */
    public LongRoundTask(EventLoop eventLoop, TimeSource time, Duration maxDelay, Runnable task) {
        this.eventLoop = eventLoop;
        this.time = time;
        this.maxDelay = maxDelay;
        this.task = task;
    }

    /** Runs the task if it is due; to be called before each step that may take long. */
    public void stepStarting() {
        long nowNanos = time.monotonicNanos();
        if (!inRound) {
            inRound = true;
            lastRunNanos = nowNanos;
            eventLoop.execute(() -> inRound = false);
            return;
        }
        if (nowNanos - lastRunNanos > maxDelay.toNanos()) {
            lastRunNanos = nowNanos;
            task.run();
        }
    }
}
