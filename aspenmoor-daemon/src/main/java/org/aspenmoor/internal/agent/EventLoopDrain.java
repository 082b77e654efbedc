package org.aspenmoor.internal.agent;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.aspenmoor.internal.authority.PauseDetector;
import org.aspenmoor.internal.authority.StreamDrain;

/**
 * The state shared by the event loop thread and the order thread: the drain, the number of running attempts, and
 * pauses.
 *
 * <p>The event loop may have a dispatch ahead of a drain request in its ring buffer. If the order thread relied on the
 * count before the event loop has processed the drain, it would find nothing running and send its order, which would
 * cut off the stream that is accepted a moment later. Therefore at least one attempt counts as running until the event
 * loop has acknowledged the drain.
 *
 * <p>A process that was paused may have been replaced in the meantime, and its ring buffer may hold dispatches from
 * before. The event loop detects the pause before it processes any message and refuses new work until the order thread
 * has confirmed that this process still owns the engine. A permission that the order thread gave without knowing of the
 * pause is ignored.
 */
final class EventLoopDrain implements StreamDrain, PauseGuard {
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicBoolean drainRequested = new AtomicBoolean();
    private final AtomicBoolean drainAcknowledged = new AtomicBoolean();
    private final AtomicLong pauseCount = new AtomicLong();
    private final Consumer<AgentMessage> eventLoop;
    private final PauseDetector pauseWatch;
    private long pausesSeenByOrders;

    EventLoopDrain(Consumer<AgentMessage> eventLoop, PauseDetector pauseWatch) {
        this.eventLoop = eventLoop;
        this.pauseWatch = pauseWatch;
    }

    /** Called by the order thread before each step; returns whether the process was paused since the last call. */
    boolean checkForPause() {
        long current = pauseCount.get();
        boolean newPause = current != pausesSeenByOrders;
        pausesSeenByOrders = current;
        return newPause;
    }

    @Override
    public void beginDrain() {
        if (drainRequested.compareAndSet(false, true)) {
            eventLoop.accept(
                    new AgentMessage.ServingAllowed(false, pausesSeenByOrders, () -> drainAcknowledged.set(true)));
        }
    }

    @Override
    public void endDrain() {
        if (drainRequested.compareAndSet(true, false)) {
            drainAcknowledged.set(false);
            eventLoop.accept(new AgentMessage.ServingAllowed(true, pausesSeenByOrders, () -> {}));
        }
    }

    @Override
    public int running() {
        return drainAcknowledged.get() ? running.get() : Math.max(1, running.get());
    }

    @Override
    public boolean detectPause() {
        if (!pauseWatch.pausedSinceLastTick()) {
            return false;
        }
        pauseCount.incrementAndGet();
        markDrained();
        return true;
    }

    @Override
    public boolean isPermissionCurrent(long knownPauses) {
        if (knownPauses == pauseCount.get()) {
            return true;
        }
        markDrained();
        return false;
    }

    /** Updates the number of running attempts; called by the event loop. */
    void runningChanged(int count) {
        running.set(count);
    }

    private void markDrained() {
        drainRequested.set(true);
        drainAcknowledged.set(true);
    }
}
