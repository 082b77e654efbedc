package org.aspenmoor.internal.limit;

import org.aspenmoor.internal.time.TimeSource;

/**
 * A token bucket that allows a sustained rate and, after an idle period, a burst up to its capacity. It starts full.
 *
 * <p>Not thread-safe.
 */
public final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final TimeSource time;
    private final double tokensPerSecond;
    private final double capacity;
    private double availableTokens;
    private long lastRefillNanos;

    public TokenBucket(TimeSource time, double tokensPerSecond, double capacity) {
        this.time = time;
        this.tokensPerSecond = tokensPerSecond;
        this.capacity = capacity;
        this.availableTokens = capacity;
        this.lastRefillNanos = time.monotonicNanos();
    }

    /** Takes one token if available; returns whether one was taken. */
    public boolean tryAcquire() {
        long now = time.monotonicNanos();
        availableTokens =
                Math.min(capacity, availableTokens + (now - lastRefillNanos) / NANOS_PER_SECOND * tokensPerSecond);
        lastRefillNanos = now;
        if (availableTokens < 1) {
            return false;
        }
        availableTokens -= 1;
        return true;
    }
}
