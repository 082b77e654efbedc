package org.aspenmoor.internal.agent;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.aspenmoor.internal.authority.PauseWatch;
import org.aspenmoor.internal.authority.StreamDrain;

/**
 * What the event loop's thread and the order thread have to know of each other.
 *
 * <p>The event loop may have a dispatch before it in its ring when a drain begins. If the order thread looked at the count
 * before the event loop has seen the drain, it would find nothing running, give its order, and the stream let in a moment later
 * would be cut. So until the event loop has acknowledged the drain, at least one stream counts as running.
 *
 * <p>A process that was paused may have been replaced meanwhile, and its ring may hold dispatches from before. The event loop
 * notices the pause before any work and lets nothing in until the order thread has proved that the engine is still its
 * own. A permission that the order thread gave without knowing of the pause does not count.
 */
final class EventLoopDrain implements StreamDrain, PauseGuard {
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicBoolean drainRequested = new AtomicBoolean();
    private final AtomicBoolean drainAcknowledged = new AtomicBoolean();
    private final AtomicLong pauseCount = new AtomicLong();
    private final Consumer<AgentMessage> eventLoop;
    private final PauseWatch pauseWatch;
    private long pausesSeenByOrders;

    EventLoopDrain(Consumer<AgentMessage> eventLoop, PauseWatch pauseWatch) {
        this.eventLoop = eventLoop;
        this.pauseWatch = pauseWatch;
    }

    /** Called by the order thread before each step; says whether the process has stood still since the last one. */
    boolean checkForPause() {
        long now = pauseCount.get();
        boolean newPause = now != pausesSeenByOrders;
        pausesSeenByOrders = now;
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
        if (!pauseWatch.tick()) {
            return false;
        }
        pauseCount.incrementAndGet();
        stopServing();
        return true;
    }

    @Override
    public boolean isPermissionCurrent(long knownPauses) {
        if (knownPauses == pauseCount.get()) {
            return true;
        }
        stopServing();
        return false;
    }

    /** Takes the event loop's count. */
    void runningChanged(int count) {
        running.set(count);
    }

    private void stopServing() {
        drainRequested.set(true);
        drainAcknowledged.set(true);
    }
}
