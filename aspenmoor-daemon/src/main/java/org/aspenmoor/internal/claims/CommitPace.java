package org.aspenmoor.internal.claims;

import java.time.Duration;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Spaces commits out once there are many, so that more claims share each.
 *
 * <p>On a fast store a commit ends before the next claim arrives, and nothing would be shared: bookings alone then use up
 * the process's share of store calls, and an operator's change is refused for it. A few commits after a quiet time go out
 * at once; beyond them each waits for its turn.
 */
final class CommitPace {
    private static final double NANOSECONDS = Duration.ofSeconds(1).toNanos();

    private final TimeSource time;
    private final double commitsPerSecond;
    private final double mostSaved;
    private double saved;
    private long refilledAt;

    CommitPace(TimeSource time, double commitsPerSecond, double mostSaved) {
        this.time = time;
        this.commitsPerSecond = commitsPerSecond;
        this.mostSaved = mostSaved;
        this.saved = mostSaved;
        this.refilledAt = time.monotonicNanoseconds();
    }

    /** Takes the right to one commit, if it is its turn. */
    boolean take() {
        long now = time.monotonicNanoseconds();
        saved = Math.min(mostSaved, saved + commitsPerSecond * (now - refilledAt) / NANOSECONDS);
        refilledAt = now;
        if (saved < 1) {
            return false;
        }
        saved -= 1;
        return true;
    }
}
