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

    private static final long LONGEST_PAUSE_NANOSECONDS = Duration.ofSeconds(4).toNanos();
    private static final int MOST_DOUBLINGS = 4;
    private static final int FAILURES_IN_A_ROW = 3;

    /** Weight of one more answer in the failure share: about the last ten answers count. */
    private static final double LEARNING_SHARE = 0.1;

    private int unreachableInARow;
    private int failuresInARow;
    private long pausedUntil = Long.MIN_VALUE;
    private double failureShare;

    void answered() {
        unreachableInARow = 0;
        failuresInARow = 0;
        pausedUntil = Long.MIN_VALUE;
        failureShare -= LEARNING_SHARE * failureShare;
    }

    /** The server answered with a failure of its own, or its answer was lost. */
    void failed(long now) {
        unreachableInARow = 0;
        failureShare += LEARNING_SHARE * (1 - failureShare);
        failuresInARow++;
        if (failuresInARow >= FAILURES_IN_A_ROW) {
            pause(now, failuresInARow - FAILURES_IN_A_ROW);
        }
    }

    /** The server does other work now; that it turned requests away before says nothing of it any more. */
    void roleChanged() {
        unreachableInARow = 0;
        pausedUntil = Long.MIN_VALUE;
    }

    /** No connection came about, or the server at the address is another one. */
    void unreachable(long now) {
        failureShare += LEARNING_SHARE * (1 - failureShare);
        pause(now, unreachableInARow);
        unreachableInARow++;
    }

    boolean paused(long now) {
        return now < pausedUntil;
    }

    double failureShare() {
        return failureShare;
    }

    private void pause(long now, int doublings) {
        long pause = FIRST_PAUSE_NANOSECONDS << Math.min(doublings, MOST_DOUBLINGS);
        pausedUntil = now + Math.min(pause, LONGEST_PAUSE_NANOSECONDS);
    }
}
