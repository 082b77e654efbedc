package org.aspenmoor.internal.gateway;

import java.time.Duration;
import org.aspenmoor.internal.gateway.caller.CallerServer;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.gateway.request.RequestDispatcher;

/**
 * The steps of a graceful stop. Confined to the event loop.
 *
 * <p>A load balancer sends new connections until two health checks have found the process not ready, and callers
 * reuse their connections. Closing the port immediately would reset these connections. The process therefore first
 * reports that it is not ready, continues to accept requests, adds "Connection: close" to each answer, and exits when
 * no connection is left or shortly before the grace period ends. The port stays open until then: closing it would reset
 * the connections that the operating system has accepted, whose callers would not know whether their requests have run.
 */
final class GracefulStop {
    /** Two health checks of the load balancer, one second apart, plus a margin for network delay and a late check. */
    private static final Duration LISTENING_PERIOD = Duration.ofMillis(2600);

    /** Reserved at the end of the grace period for answering what is still open, and for sending these answers. */
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(500);

    /** Reserved for the end of the process, before it is killed. */
    private static final Duration EXIT_MARGIN = Duration.ofMillis(250);

    /** While connections arrive, others are probably on their way, and would be reset by closing the port. */
    private static final Duration QUIET_PERIOD = Duration.ofMillis(500);

    private final CallerServer callers;
    private final RequestDispatcher dispatcher;
    private final DecisionLog log;
    private final Runnable onFinished;
    private Duration gracePeriod;
    private boolean begun;
    private boolean requestsEnded;
    private boolean finished;
    private long begunAtNanos;

    GracefulStop(
            CallerServer callers,
            RequestDispatcher dispatcher,
            DecisionLog log,
            Duration gracePeriod,
            Runnable onFinished) {
        this.callers = callers;
        this.dispatcher = dispatcher;
        this.log = log;
        this.gracePeriod = gracePeriod;
        this.onFinished = onFinished;
    }

    void begin(long nowNanos) {
        if (!begun) {
            begun = true;
            begunAtNanos = nowNanos;
            dispatcher.stop(servesUntil());
        }
    }

    void setGracePeriod(Duration newGracePeriod) {
        gracePeriod = newGracePeriod;
        if (begun) {
            dispatcher.stop(servesUntil());
        }
    }

    boolean begun() {
        return begun;
    }

    /** Performs the next step if it is due. */
    void advance(long nowNanos) {
        if (!begun) {
            return;
        }
        callers.refuseWaiting();
        long elapsedNanos = nowNanos - begunAtNanos;
        boolean receivesConnections = elapsedNanos < LISTENING_PERIOD.toNanos();
        if (!receivesConnections) {
            callers.refuseNewConnections();
            callers.closeIdle(nowNanos);
        }
        boolean portClosed = requestsEnded;
        boolean noneConnected = !receivesConnections && callers.noneConnected();
        if (nowNanos > servesUntil() || (noneConnected && callers.quietFor(QUIET_PERIOD, nowNanos))) {
            endRequests();
        }
        if ((portClosed && noneConnected)
                || elapsedNanos > gracePeriod.minus(EXIT_MARGIN).toNanos()) {
            finish();
        }
    }

    private long servesUntil() {
        return begunAtNanos + gracePeriod.minus(ANSWER_MARGIN).toNanos();
    }

    private void endRequests() {
        if (!requestsEnded) {
            requestsEnded = true;
            logUnfinished();
            callers.stopListening();
            callers.endRequests();
        }
    }

    private void finish() {
        if (finished) {
            return;
        }
        finished = true;
        onFinished.run();
    }

    /** Logs what is open when the process ends; the requests are answered that their outcome is unknown, or not run. */
    private void logUnfinished() {
        log.notable("stop-finished")
                .with("servedRequests", callers.servedRequests())
                .with("openConnections", callers.openConnections())
                .write();
    }
}
