package org.aspenmoor.internal.bench.soak;

import java.util.ArrayDeque;
import java.util.Deque;

/** One process: it acts when it is neither paused, dead, nor in the middle of a call. */
abstract class SoakProcess {
    private final String incarnation;
    private final Deque<Runnable> inbox = new ArrayDeque<>();
    private long pausedUntilNanoseconds;
    private boolean acting;
    private boolean dead;

    SoakProcess(String incarnation) {
        this.incarnation = incarnation;
    }

    /** Begins to act, perhaps after a pause; messages are read after this. */
    void wake() {
        // Most processes need not know that they were paused.
    }

    /** Does what is due. */
    abstract void work();

    final String incarnation() {
        return incarnation;
    }

    final boolean dead() {
        return dead;
    }

    final boolean pausedAt(long now) {
        return now < pausedUntilNanoseconds;
    }

    final void pauseUntil(long nanoseconds) {
        pausedUntilNanoseconds = Math.max(pausedUntilNanoseconds, nanoseconds);
    }

    void kill() {
        dead = true;
        inbox.clear();
    }

    /** Takes a message; it is read when the process acts next. */
    final void deliver(Runnable message) {
        if (!dead) {
            inbox.add(message);
        }
    }

    /** Reads its messages and works, if it can. */
    final void act(long now) {
        if (dead || acting || pausedAt(now)) {
            return;
        }
        acting = true;
        try {
            wake();
            while (!inbox.isEmpty()) {
                inbox.remove().run();
            }
            work();
        } catch (ProcessKilledError killed) {
            kill();
        } finally {
            acting = false;
        }
    }
}
