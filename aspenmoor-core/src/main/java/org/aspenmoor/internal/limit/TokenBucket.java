package org.aspenmoor.internal.limit;

import org.aspenmoor.internal.time.TimeSource;

/**
 * A token bucket that allows a sustained rate and, after an idle period, a burst up to its capacity. It starts full.
 *
 * <p>Not thread-safe.
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

    /** Takes one token if available; returns whether one was taken. */
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
