package org.aspenmoor.internal.gateway;

import java.time.Duration;
import org.aspenmoor.internal.gateway.caller.CallerServer;
import org.aspenmoor.internal.gateway.request.RequestDispatcher;

/**
 * The steps of a planned stop. Confined to the event loop.
 *
 * <p>A balancer goes on sending new connections until it has twice heard that the process is not ready, and callers
 * reuse theirs. A process that closed its port at once would reset them. So it says first that it is not ready, takes
 * what still comes, asks callers with each answer to close, and ends when nothing is left.
 */
final class GracefulStop {
    /** The balancer asks once a second and needs two misses; the rest covers the way and a late question. */
    private static final Duration LISTENING_ON = Duration.ofMillis(2600);

    /** Kept of the time until the process is killed, so that the last answers still leave. */
    private static final Duration MARGIN = Duration.ofMillis(500);

    private final CallerServer callers;
    private final RequestDispatcher dispatcher;
    private final Runnable exit;
    private Duration grace;
    private boolean begun;
    private boolean closed;
    private long begunAt;

    GracefulStop(CallerServer callers, RequestDispatcher dispatcher, Duration grace, Runnable exit) {
        this.callers = callers;
        this.dispatcher = dispatcher;
        this.grace = grace;
        this.exit = exit;
    }

    void begin(long now) {
        if (!begun) {
            begun = true;
            begunAt = now;
            dispatcher.stop();
        }
    }

    void reload(Duration newGrace) {
        grace = newGrace;
    }

    boolean begun() {
        return begun;
    }

    /** Takes the next step if its time has come. */
    void check(long now) {
        if (!begun) {
            return;
        }
        long elapsed = now - begunAt;
        if (elapsed < LISTENING_ON.toNanos()) {
            return;
        }
        if (!closed) {
            closed = true;
            callers.stopListening();
        }
        callers.closeIdle();
        if (callers.open() == 0 || elapsed > grace.minus(MARGIN).toNanos()) {
            exit.run();
        }
    }
}
