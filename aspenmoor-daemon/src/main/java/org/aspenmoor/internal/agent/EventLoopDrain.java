package org.aspenmoor.internal.agent;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.aspenmoor.internal.authority.PauseDetector;
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
    private final AtomicBoolean asked = new AtomicBoolean();
    private final AtomicBoolean acknowledged = new AtomicBoolean();
    private final AtomicLong pauses = new AtomicLong();
    private final Consumer<AgentMessage> eventLoop;
    private final PauseDetector watch;
    private long pausesKnownToOrders;

    EventLoopDrain(Consumer<AgentMessage> eventLoop, PauseDetector watch) {
        this.eventLoop = eventLoop;
        this.watch = watch;
    }

    /** Called by the order thread before each step; says whether the process has stood still since the last one. */
    boolean learnsOfPause() {
        long now = pauses.get();
        boolean news = now != pausesKnownToOrders;
        pausesKnownToOrders = now;
        return news;
    }

    @Override
    public void beginDrain() {
        if (asked.compareAndSet(false, true)) {
            eventLoop.accept(new AgentMessage.ServingAllowed(false, pausesKnownToOrders, () -> acknowledged.set(true)));
        }
    }

    @Override
    public void endDrain() {
        if (asked.compareAndSet(true, false)) {
            acknowledged.set(false);
            eventLoop.accept(new AgentMessage.ServingAllowed(true, pausesKnownToOrders, () -> {}));
        }
    }

    @Override
    public int running() {
        return acknowledged.get() ? running.get() : Math.max(1, running.get());
    }

    @Override
    public boolean stoodStill() {
        if (!watch.pausedSinceLastTick()) {
            return false;
        }
        pauses.incrementAndGet();
        closeOnOwnAccount();
        return true;
    }

    @Override
    public boolean admits(long pausesKnown) {
        if (pausesKnown == pauses.get()) {
            return true;
        }
        closeOnOwnAccount();
        return false;
    }

    /** Takes the event loop's count. */
    void runningChanged(int count) {
        running.set(count);
    }

    private void closeOnOwnAccount() {
        asked.set(true);
        acknowledged.set(true);
    }
}
