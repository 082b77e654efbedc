package org.aspenmoor.internal.gateway.request;

import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Notices that the server of a request has stalled. Confined to the event loop.
 *
 * <p>An engine that hangs, or has gone dark, takes requests and answers none; without this its callers wait until their
 * deadline, though another engine would have answered them.
 */
final class StallWatch {
    private final RequestTools tools;
    private final Consumer<WatchedAttempt> stalled;
    private Future<?> timer;

    StallWatch(RequestTools tools, Consumer<WatchedAttempt> stalled) {
        this.tools = tools;
        this.stalled = stalled;
    }

    /** Watches an attempt instead of the one before. */
    void watch(WatchedAttempt attempt, Duration patience) {
        cancel();
        timer = tools.eventLoop().schedule(() -> check(attempt, patience), patience.toNanos(), TimeUnit.NANOSECONDS);
    }

    void cancel() {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private void check(WatchedAttempt attempt, Duration patience) {
        if (attempt.begun()) {
            return;
        }
        if (!tools.state().placer().silentSince(attempt.work())) {
            // It answers others: the request waits in a queue, and would wait in another one too.
            watch(attempt, patience);
            return;
        }
        stalled.accept(attempt);
    }
}
