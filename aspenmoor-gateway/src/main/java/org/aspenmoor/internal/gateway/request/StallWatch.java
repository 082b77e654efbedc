package org.aspenmoor.internal.gateway.request;

import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.aspenmoor.internal.serving.RepeatRule;
import org.aspenmoor.internal.serving.Route;

/**
 * Notices that the server of a request has stalled. Confined to the event loop.
 *
 * <p>An engine that hangs takes requests and answers none; without this its callers wait until their deadline, though
 * another engine would have answered in time.
 */
final class StallWatch {
    /** A repeatable request whose answer has not begun after this many objectives is tried elsewhere. */
    private static final int STALLED_OBJECTIVES = 2;

    private final RequestTools tools;
    private final Route route;
    private final Consumer<AnswerAttempt> stalled;
    private Future<?> timer;

    StallWatch(RequestTools tools, Route route, Consumer<AnswerAttempt> stalled) {
        this.tools = tools;
        this.route = route;
        this.stalled = stalled;
    }

    /** Watches an attempt instead of the one before; requests that may not be repeated are not watched. */
    void watch(AnswerAttempt attempt) {
        cancel();
        boolean repeatable = route.repeatRule() != RepeatRule.AT_MOST_ONCE && route.mostBackends() > 1;
        if (repeatable) {
            long after = route.objective().toNanos() * STALLED_OBJECTIVES;
            timer = tools.eventLoop().schedule(() -> check(attempt), after, TimeUnit.NANOSECONDS);
        }
    }

    void cancel() {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private void check(AnswerAttempt attempt) {
        if (attempt.begun()) {
            return;
        }
        if (!tools.state().placer().silentSince(attempt.work())) {
            // It answers others: the request waits in a queue, and would wait in another one too.
            watch(attempt);
            return;
        }
        stalled.accept(attempt);
    }
}
