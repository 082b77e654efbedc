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
final class StallDetector {
    /**
     * If an answer has not begun after this many times the route's objective, the attempt is checked, and abandoned
     * if its server is unresponsive.
     */
    private static final int STALL_OBJECTIVES = 2;

    /** Factor by which the queue time may exceed the expected one before an attempt is checked. */
    private static final double QUEUE_MARGIN = 2;

    /**
     * Maximum gap in a stream if the server sends nothing for other requests either, in percent of the gap after which
     * callers disconnect; the remaining time is for another engine to continue.
     */
    private static final int MAX_GAP_PERCENT = 40;

    /**
     * Interval at which a stalled attempt that is kept is checked again, in percent of the gap after which callers
     * disconnect: a retry or a server may become available, or the server may respond.
     */
    private static final int RECHECK_PERCENT = 10;

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final ServingContext context;
    private final Duration objective;
    private final Duration maxEventGap;
    private final Duration recheckInterval;
    private final BooleanSupplier reading;
    private final Consumer<WatchedAttempt> stallListener;
    private Future<?> timer;
    private Runnable pendingCheck = () -> {};
    private long lastUnreadAt = Long.MIN_VALUE;

    /**
     * Creates a detector.
     *
     * @param reading returns whether the answer is being read; it is not while the caller accepts no data
     * @param stallListener receives an attempt whose server has stalled
     */
    StallDetector(
            ServingContext context, Route route, BooleanSupplier reading, Consumer<WatchedAttempt> stallListener) {
        this.context = context;
        this.reading = reading;
        this.objective = route.objective();
        this.maxEventGap =
                route.callerIdleTimeout().multipliedBy(MAX_GAP_PERCENT).dividedBy(100);
        this.recheckInterval =
                route.callerIdleTimeout().multipliedBy(RECHECK_PERCENT).dividedBy(100);
        this.stallListener = stallListener;
    }

    /**
     * Watches an attempt instead of the previous one. The limit includes the expected queue time, because an entry
     * with few requests at an engine may see no answer from it for that long.
     */
    void watch(WatchedAttempt attempt) {
        Duration queueTime = Duration.ofNanos(
                (long) (QUEUE_MARGIN * attempt.work().expectedAnswerSeconds() * NANOSECONDS_PER_SECOND));
        watch(attempt, objective.multipliedBy(STALL_OBJECTIVES).plus(queueTime));
    }

    private void watch(WatchedAttempt attempt, Duration limit) {
        scheduleCheck(attempt, limit, limit);
    }

    private void scheduleCheck(WatchedAttempt attempt, Duration limit, Duration delay) {
        cancel();
        pendingCheck = () -> check(attempt, limit);
        timer = context.eventLoop().schedule(pendingCheck, delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Checks the watched attempt now, because a server may have room for its request. */
    void checkNow() {
        Runnable check = pendingCheck;
        cancel();
        check.run();
    }

    /**
     * Records that the answer of an attempt has begun; if it is a stream that is being watched, its gaps are limited.
     */
    void answerBegan(AnswerAttempt answer) {
        boolean watching = timer != null && !timer.isDone();
        if (watching && answer.midStream()) {
            watch(answer, maxEventGap);
        }
    }

    void cancel() {
        if (timer != null) {
            timer.cancel(false);
        }
        pendingCheck = () -> {};
    }

    private void check(WatchedAttempt attempt, Duration limit) {
        if (attempt instanceof AnswerAttempt answer && answer.midStream()) {
            checkStream(answer);
            return;
        }
        if (attempt.begun()) {
            return;
        }
        if (!context.state().placement().noAnswerSinceStart(attempt.work())) {
            // The server answers other requests, so this one is queued there, and would be queued elsewhere too.
            watch(attempt, limit);
            return;
        }
        reportStall(attempt, limit);
    }

    /** Reports a stall; if the attempt is kept, it is reported again until its server responds. */
    private void reportStall(WatchedAttempt attempt, Duration limit) {
        scheduleCheck(attempt, limit, recheckInterval);
        stallListener.accept(attempt);
    }

    /**
     * Checks a stream for a gap that is too long. An unresponsive engine does not close its connections, so callers
     * would leave although another engine could continue. Time in which this entry itself has stopped reading,
     * because the caller accepts no data, does not count.
     */
    private void checkStream(AnswerAttempt answer) {
        long now = context.state().time().monotonicNanos();
        lastUnreadAt = reading.getAsBoolean() ? lastUnreadAt : now;
        long lastActivityAt = Math.max(answer.lastEventAt(), lastUnreadAt);
        long windowStart = now - maxEventGap.toNanos();
        if (lastActivityAt > windowStart) {
            watch(answer, Duration.ofNanos(lastActivityAt - windowStart));
            return;
        }
        if (context.state().placement().nothingReceivedSince(answer.work(), windowStart)) {
            reportStall(answer, maxEventGap);
            return;
        }
        watch(answer, maxEventGap);
    }
}
