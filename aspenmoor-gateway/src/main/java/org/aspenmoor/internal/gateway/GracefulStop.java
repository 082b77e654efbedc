package org.aspenmoor.internal.gateway;

import java.time.Duration;
import org.aspenmoor.internal.gateway.caller.CallerServer;
import org.aspenmoor.internal.gateway.request.RequestDispatcher;

/**
 * The steps of a graceful stop. Confined to the event loop.
 *
 * <p>A load balancer sends new connections until two health checks have found the process not ready, and callers reuse
 * their connections. Closing the port immediately would reset these connections. The process therefore first reports that
 * it is not ready, continues to accept requests, adds "Connection: close" to each answer, and exits when no connection is
 * left or shortly before the grace period ends.
 */
final class GracefulStop {
    /** Two health checks of the load balancer, one second apart, plus a margin for network delay and a late check. */
    private static final Duration LISTENING_ON = Duration.ofMillis(2600);

    /** Reserved at the end of the grace period, before the process is killed, for sending the last answers. */
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

    /** Performs the next step if it is due. */
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
