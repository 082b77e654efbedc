package org.aspenmoor.internal.standins.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

/** An open watch; it ends when its reader falls too far behind. */
final class Watcher {
    private static final int MAX_PENDING_EVENTS = 4096;

    private final BlockingQueue<ObjectEvent> pendingEvents;
    private volatile boolean ended;

    Watcher(List<ObjectEvent> pastEvents) {
        this.pendingEvents = new ArrayBlockingQueue<>(MAX_PENDING_EVENTS + pastEvents.size());
        pendingEvents.addAll(pastEvents);
    }

    void offer(ObjectEvent event) {
        if (!pendingEvents.offer(event)) {
            ended = true;
        }
    }

    void end() {
        ended = true;
    }

    boolean hasEnded() {
        return ended;
    }

    /** Waits for an event; empty if there was none within the given time. */
    Optional<ObjectEvent> next(long milliseconds) throws InterruptedException {
        return Optional.ofNullable(pendingEvents.poll(milliseconds, TimeUnit.MILLISECONDS));
    }
}
