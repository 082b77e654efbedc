package org.aspenmoor.internal.store.client;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Draws the pauses between repetitions: at random up to a bound that doubles, so that processes spread out. */
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

    /** Draws the pause before a repetition, counted from 0. */
    Duration pauseBefore(int repetition) {
        long bound = first.toNanos() << Math.min(repetition, MOST_DOUBLINGS);
        long capped = Math.min(bound, most.toNanos());
        return Duration.ofNanos(drawUpTo(capped));
    }

    /** Draws a pause up to the longest, for something that all processes do at the same moment. */
    Duration spread() {
        return Duration.ofNanos(drawUpTo(most.toNanos()));
    }

    private long drawUpTo(long bound) {
        synchronized (random) {
            return random.nextLong(bound + 1);
        }
    }
}
