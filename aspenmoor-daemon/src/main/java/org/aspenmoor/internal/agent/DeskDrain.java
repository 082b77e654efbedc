package org.aspenmoor.internal.agent;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.aspenmoor.internal.authority.StreamDrain;
import org.aspenmoor.internal.duty.Duty;

/**
 * Tells the desk to take no new work, and tells the order thread how much still runs.
 *
 * <p>The desk may have a dispatch before it in its ring when a drain begins. If the order thread looked at the count
 * before the desk has seen the drain, it would find nothing running, give its order, and the stream let in a moment later
 * would be cut. So until the desk has acknowledged the drain, at least one stream counts as running.
 */
final class DeskDrain implements StreamDrain {
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicBoolean asked = new AtomicBoolean();
    private final AtomicBoolean acknowledged = new AtomicBoolean();
    private final Duty<AgentMessage> desk;

    DeskDrain(Duty<AgentMessage> desk) {
        this.desk = desk;
    }

    @Override
    public void beginDrain() {
        if (asked.compareAndSet(false, true)) {
            desk.put(new AgentMessage.ServingAllowed(false, () -> acknowledged.set(true)));
        }
    }

    @Override
    public void endDrain() {
        if (asked.compareAndSet(true, false)) {
            acknowledged.set(false);
            desk.put(new AgentMessage.ServingAllowed(true, () -> {}));
        }
    }

    @Override
    public int running() {
        return acknowledged.get() ? running.get() : Math.max(1, running.get());
    }

    /** Takes the desk's count. */
    void runningChanged(int count) {
        running.set(count);
    }
}
