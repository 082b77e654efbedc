package org.aspenmoor.internal.serving;

import java.time.Duration;

/**
 * What the ends of attempts say of one backend server: how long it is left alone, and how often it fails.
 *
 * <p>A server that crashed, or that fails requests while it calls itself healthy, answers fastest of all and looks
 * idle. Placing by load alone would send it the most; callers would see a burst of failures. Each failure in a row
 * doubles a pause, and an even share of failures lowers its rank without excluding it.
 */
final class ServerHealth {
    /** First pause after a connection could not be opened; about the time in which a crashed server is reported. */
    private static final long FIRST_PAUSE_NANOSECONDS = Duration.ofMillis(400).toNanos();

    private static final long MAX_PAUSE_NANOSECONDS = Duration.ofSeconds(4).toNanos();
    private static final int MAX_DOUBLINGS = 4;
    private static final int CONSECUTIVE_FAILURES_BEFORE_PAUSE = 3;

    /** Weight of one more answer in the failure share: about the last ten answers count. */
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

    /** The server answered with a failure of its own, or its answer was lost. */
    void failed(long now) {
        consecutiveUnreachable = 0;
        failureFraction += FAILURE_WEIGHT * (1 - failureFraction);
        consecutiveFailures++;
        if (consecutiveFailures >= CONSECUTIVE_FAILURES_BEFORE_PAUSE) {
            pause(now, consecutiveFailures - CONSECUTIVE_FAILURES_BEFORE_PAUSE);
        }
    }

    /** The server does other work now; that it turned requests away before says nothing of it any more. */
    void roleChanged() {
        consecutiveUnreachable = 0;
        pausedUntil = Long.MIN_VALUE;
    }

    /** No connection came about, or the server at the address is another one. */
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
        long pause = FIRST_PAUSE_NANOSECONDS << Math.min(doublings, MAX_DOUBLINGS);
        pausedUntil = now + Math.min(pause, MAX_PAUSE_NANOSECONDS);
    }
}
