package org.aspenmoor.internal.limit;

import org.aspenmoor.internal.time.TimeSource;

/**
 * A token bucket: so many a second in the long run, and some more at once after a quiet time. It starts full.
 *
 * <p>Used by one thread only.
 */
public final class TokenBucket {
    private static final double NANOSECONDS_OF_SECOND = 1e9;

    private final TimeSource time;
    private final double perSecond;
    private final double mostSaved;
    private double saved;
    private long refilledAt;

    public TokenBucket(TimeSource time, double perSecond, double mostSaved) {
        this.time = time;
        this.perSecond = perSecond;
        this.mostSaved = mostSaved;
        this.saved = mostSaved;
        this.refilledAt = time.monotonicNanoseconds();
    }

    /** Takes one if there is one left. */
    public boolean take() {
        long now = time.monotonicNanoseconds();
        saved = Math.min(mostSaved, saved + (now - refilledAt) / NANOSECONDS_OF_SECOND * perSecond);
        refilledAt = now;
        if (saved < 1) {
            return false;
        }
        saved -= 1;
        return true;
    }
}
