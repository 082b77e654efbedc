package org.aspenmoor.internal.store.client;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Draws retry delays: uniformly random up to an exponentially growing bound, so that processes do not retry in step.
 */
final class Backoff {
    private static final int MAX_DOUBLINGS = 20;

    private final RandomGenerator random;
    private final Duration initialBound;
    private final Duration maxBound;

    Backoff(RandomGenerator random, Duration initialBound, Duration maxBound) {
        this.random = random;
        this.initialBound = initialBound;
        this.maxBound = maxBound;
    }

    /** Draws the delay before a retry; the first retry has number 0. */
    Duration delayBeforeRetry(int retry) {
        long bound = initialBound.toNanos() << Math.min(retry, MAX_DOUBLINGS);
        long capped = Math.min(bound, maxBound.toNanos());
        return Duration.ofNanos(randomUpTo(capped));
    }

    /** Draws a delay up to the maximum, for an action that all processes would otherwise start at the same time. */
    Duration delayUpToMax() {
        return Duration.ofNanos(randomUpTo(maxBound.toNanos()));
    }

    private long randomUpTo(long bound) {
        synchronized (random) {
            return random.nextLong(bound + 1);
        }
    }
}
