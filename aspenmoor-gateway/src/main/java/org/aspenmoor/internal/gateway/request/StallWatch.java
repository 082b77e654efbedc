package org.aspenmoor.internal.gateway.request;

import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.aspenmoor.internal.serving.Route;

/**
 * Notices that the server of a request has stalled. Confined to the event loop.
 *
 * <p>An engine that hangs, or has gone dark, takes requests and answers none; without this its callers wait until their
 * deadline, though another engine would have answered them.
 */
final class StallWatch {
    /** An attempt whose answer has not begun after this many objectives is looked at, and given up if its server is silent. */
    private static final int STALLED_OBJECTIVES = 2;

    /** By how much a queue may be longer than expected. */
    private static final double QUEUE_MARGIN = 2;

    /**
     * How long a stream may be quiet at a server that tells others nothing either, in percent of the silence after which
     * callers leave; the rest is for another engine to go on.
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
     * Makes a watch.
     *
     * @param reading whether what the server tells is read; not while the caller takes nothing
     * @param stalled hears of an attempt whose server has stalled
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
     * Watches an attempt instead of the one before. Where a long queue is expected, an entry with few requests there may
     * see no answer of the engine for its length.
     */
    void watch(WatchedAttempt attempt) {
        Duration queue = Duration.ofNanos((long) (QUEUE_MARGIN * attempt.work().answerSeconds() * NANOSECONDS));
        watch(attempt, objective.multipliedBy(STALLED_OBJECTIVES).plus(queue));
    }

    private void watch(WatchedAttempt attempt, Duration patience) {
        cancel();
        timer = tools.eventLoop().schedule(() -> check(attempt, patience), patience.toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Notes that the answer of the watched attempt, if it is one, has begun to be told. */
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
            // It answers others: the request waits in a queue, and would wait in another one too.
            watch(attempt, patience);
            return;
        }
        stalled.accept(attempt);
    }

    /**
     * An engine that goes dark breaks no connection: callers would leave, though another engine could go on. One whose
     * answer this entry itself has stopped to read, since the caller takes nothing, is not dark.
     */
    private void checkTelling(AnswerAttempt answer) {
        long now = tools.state().time().monotonicNanos();
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
