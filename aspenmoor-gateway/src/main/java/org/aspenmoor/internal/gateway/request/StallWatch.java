package org.aspenmoor.internal.gateway.request;

import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.aspenmoor.internal.serving.Route;

/**
 * Detects that the server of an attempt has stalled. Confined to the event loop.
 *
 * <p>An engine that hangs or has become unresponsive accepts requests and answers none. Without this check its callers
 * would wait until their deadline, although another engine could have answered them.
 */
final class StallWatch {
    /**
     * If an answer has not begun after this many times the route's objective, the attempt is checked, and abandoned
     * if its server is unresponsive.
     */
    private static final int STALLED_OBJECTIVES = 2;

    /** Factor by which a queue may be longer than expected. */
    private static final double QUEUE_MARGIN = 2;

    /**
     * Maximum gap in a stream if the server sends nothing for other requests either, in percent of the gap after which
     * callers leave; the rest of the time is left for another engine to continue.
     */
    private static final int QUIET_PERCENT = 40;

    private static final double NANOSECONDS = 1e9;

    private final RequestTools tools;
    private final Duration objective;
    private final Duration tellingPatience;
    private final BooleanSupplier reading;
    private final Consumer<WatchedAttempt> stalled;
    private Future<?> timer;
    private long unreadAt = Long.MIN_VALUE;

    /**
     * Creates a detector.
     *
     * @param reading returns whether the answer is being read; it is not while the caller accepts no data
     * @param stallListener receives an attempt whose server has stalled
     */
    StallWatch(RequestTools tools, Route route, BooleanSupplier reading, Consumer<WatchedAttempt> stalled) {
        this.tools = tools;
        this.reading = reading;
        this.objective = route.objective();
        this.tellingPatience =
                route.longestSilence().multipliedBy(QUIET_PERCENT).dividedBy(100);
        this.stalled = stalled;
    }

    /**
     * Watches an attempt instead of the previous one. The limit includes the expected queue time, because an entry
     * with few requests at an engine may see no answer from it for that long.
     */
    void watch(WatchedAttempt attempt) {
        Duration queue = Duration.ofNanos((long) (QUEUE_MARGIN * attempt.work().answerSeconds() * NANOSECONDS));
        watch(attempt, objective.multipliedBy(STALLED_OBJECTIVES).plus(queue));
    }

    private void watch(WatchedAttempt attempt, Duration patience) {
        cancel();
        timer = tools.eventLoop().schedule(() -> check(attempt, patience), patience.toNanos(), TimeUnit.NANOSECONDS);
    }

    /**
     * Records that the answer of an attempt has begun; if it is a stream that is being watched, its gaps are limited.
     */
    void begun(AnswerAttempt answer) {
        boolean watching = timer != null && !timer.isDone();
        if (watching && answer.telling()) {
            watch(answer, tellingPatience);
        }
    }

    void cancel() {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private void check(WatchedAttempt attempt, Duration patience) {
        if (attempt instanceof AnswerAttempt answer && answer.telling()) {
            checkTelling(answer);
            return;
        }
        if (attempt.begun()) {
            return;
        }
        if (!tools.state().placer().silentSince(attempt.work())) {
            // The server answers other requests, so this one waits in its queue, and would wait at another server
            // too.
            watch(attempt, patience);
            return;
        }
        stalled.accept(attempt);
    }

    /**
     * Checks a stream for a gap that is too long. An unresponsive engine does not close its connections, so callers
     * would leave although another engine could continue. Time in which this entry itself has stopped reading,
     * because the caller accepts no data, does not count.
     */
    private void checkTelling(AnswerAttempt answer) {
        long now = tools.state().time().monotonicNanoseconds();
        unreadAt = reading.getAsBoolean() ? unreadAt : now;
        long heardAt = Math.max(answer.heardAt(), unreadAt);
        long quietFrom = now - tellingPatience.toNanos();
        if (heardAt > quietFrom) {
            watch(answer, Duration.ofNanos(heardAt - quietFrom));
            return;
        }
        if (tools.state().placer().nothingHeardSince(answer.work(), quietFrom)) {
            stalled.accept(answer);
            return;
        }
        watch(answer, tellingPatience);
    }
}
