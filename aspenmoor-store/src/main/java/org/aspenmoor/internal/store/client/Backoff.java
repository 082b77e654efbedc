package org.aspenmoor.internal.store.client;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Draws retry delays: uniformly random up to an exponentially growing bound, so that processes do not retry in step. */
final class Backoff {
    private static final int MOST_DOUBLINGS = 20;

    private final RandomGenerator random;
    private final Duration first;
    private final Duration most;

    Backoff(RandomGenerator random, Duration first, Duration most) {
        this.random = random;
        this.first = first;
        this.most = most;
    }

    /** Draws the delay before a retry; the first retry has number 0. */
    Duration pauseBefore(int repetition) {
        long bound = first.toNanos() << Math.min(repetition, MOST_DOUBLINGS);
        long capped = Math.min(bound, most.toNanos());
        return Duration.ofNanos(drawUpTo(capped));
    }

    /** Draws a delay up to the maximum, for an action that all processes would otherwise start at the same time. */
    Duration spread() {
        return Duration.ofNanos(drawUpTo(most.toNanos()));
    }

    private long drawUpTo(long bound) {
        synchronized (random) {
            return random.nextLong(bound + 1);
        }
    }
}
