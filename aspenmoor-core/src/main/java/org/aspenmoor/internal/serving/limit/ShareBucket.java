package org.aspenmoor.internal.serving.limit;

import java.time.Duration;
import java.util.Optional;

/**
 * The requests that this entry may send to a server with a limit. It starts with less than one request, so that the
 * entries that hear of a limit at the same time do not all send one at the same time.
 */
final class ShareBucket {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Time for which requests are reserved at rates at which that is more than one, in seconds. */
    private static final double RESERVE_SECONDS = 0.25;

    private double available;
    private long refilledAt;

    ShareBucket(double available, long now) {
        this.available = available;
        this.refilledAt = now;
    }

    /** Adds what has become available since the last call at the present rate. */
    void refill(double requestsPerSecond, long now) {
        double elapsedSeconds = Math.max(0, now - refilledAt) / NANOSECONDS_PER_SECOND;
        refilledAt = now;
        if (requestsPerSecond == 0) {
            available = Math.min(available, 0);
            return;
        }
        double capacity = Math.max(1, RESERVE_SECONDS * requestsPerSecond);
        available = Math.min(capacity, available + elapsedSeconds * requestsPerSecond);
    }

    boolean maySend() {
        return available >= 1;
    }

    /** Takes a request; calls that have to be made may take more than is available. */
    void take() {
        available--;
    }

    /** Returns the time until a request is available; empty if none will be. */
    Optional<Duration> untilAvailable(double requestsPerSecond) {
        if (requestsPerSecond == 0) {
            return Optional.empty();
        }
        double seconds = Math.max(0, 1 - available) / requestsPerSecond;
        return Optional.of(Duration.ofNanos((long) (seconds * NANOSECONDS_PER_SECOND)));
    }
}
