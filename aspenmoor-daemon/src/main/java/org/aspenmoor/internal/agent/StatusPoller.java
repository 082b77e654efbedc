package org.aspenmoor.internal.agent;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.internal.duty.Worker;
import org.aspenmoor.internal.engine.EngineControl;
import org.aspenmoor.internal.engine.EngineUnreachableException;

/** Polls the status of the backend server. */
final class StatusPoller implements AutoCloseable {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(250);

    private final EngineControl control;
    private final Worker<AgentMessage> eventLoop;
    private final CountDownLatch closed = new CountDownLatch(1);
    private final Thread thread;

    StatusPoller(EngineControl control, Worker<AgentMessage> eventLoop) {
        this.control = control;
        this.eventLoop = eventLoop;
        this.thread = Thread.ofPlatform().name("aspenmoor-status").daemon(true).unstarted(this::run);
    }

    void start() {
        thread.start();
    }

    @Override
    public void close() {
        closed.countDown();
    }

    private void run() {
        try {
            do {
                poll();
            } while (!closed.await(POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void poll() {
        try {
            eventLoop.put(new AgentMessage.StatusRead(control.status()));
        } catch (EngineUnreachableException unreachable) {
            eventLoop.put(new AgentMessage.StatusMissing(unreachable.problem()));
        }
    }
}
