package org.aspenmoor.internal.serving;

import java.time.Duration;

/**
 * The health of one backend server, derived from the ends of attempts: how long it is paused, and how often it fails.
 *
 * <p>A server that has crashed, or that fails requests while it reports itself as healthy, responds fastest of all and
 * looks idle. Scheduling by load alone would send it most of the requests, and callers would see a burst of failures.
 * Each consecutive failure doubles a pause, and a constant fraction of failures lowers the server's rank without
 * excluding it.
 */
final class ServerHealth {
    /** First pause after a connection could not be opened; about the time in which a crashed server is reported. */
    private static final long FIRST_PAUSE_NANOSECONDS = Duration.ofMillis(400).toNanos();

    private static final long MAX_PAUSE_NANOSECONDS = Duration.ofSeconds(4).toNanos();
    private static final int MAX_DOUBLINGS = 4;
    private static final int CONSECUTIVE_FAILURES_BEFORE_PAUSE = 3;

    /** Weight of a new answer in the failure fraction; about the last ten answers count. */
    private static final double FAILURE_WEIGHT = 0.1;

    private int consecutiveUnreachable;
    private int consecutiveFailures;
    private long pausedUntil = Long.MIN_VALUE;
    private double failureFraction;

    void answered() {
        consecutiveUnreachable = 0;
        consecutiveFailures = 0;
        pausedUntil = Long.MIN_VALUE;
        failureFraction -= FAILURE_WEIGHT * failureFraction;
    }

    /** Records that the server responded with a failure, or that its answer was lost. */
    void failed(long now) {
        consecutiveUnreachable = 0;
        failureFraction += FAILURE_WEIGHT * (1 - failureFraction);
        consecutiveFailures++;
        if (consecutiveFailures >= CONSECUTIVE_FAILURES_BEFORE_PAUSE) {
            pause(now, consecutiveFailures - CONSECUTIVE_FAILURES_BEFORE_PAUSE);
        }
    }

    /** Records that the server has a new role, which makes earlier rejections irrelevant. */
    void roleChanged() {
        consecutiveUnreachable = 0;
        pausedUntil = Long.MIN_VALUE;
    }

    /** Records that no connection was established, or that another server answered at the address. */
    void unreachable(long now) {
        failureFraction += FAILURE_WEIGHT * (1 - failureFraction);
        pause(now, consecutiveUnreachable);
        consecutiveUnreachable++;
    }

    boolean paused(long now) {
        return now < pausedUntil;
    }

    double failureFraction() {
        return failureFraction;
    }

    private void pause(long now, int doublings) {
        long pauseNanoseconds = FIRST_PAUSE_NANOSECONDS << Math.min(doublings, MAX_DOUBLINGS);
        pausedUntil = now + Math.min(pauseNanoseconds, MAX_PAUSE_NANOSECONDS);
    }
}
