package org.aspenmoor.internal.serving.limit;

import java.time.Duration;
import java.util.Optional;

/**
 * The requests that this entry may send to a server with a limit. It starts with less than one request, so that the
 * entries that hear of a limit at the same time do not all send one at the same time.
 */
final class ShareBucket {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private double available;
    private long refilledAt;
    private double requestsPerSecond;
    private double capacity;

    ShareBucket(double available, long now) {
        this.available = available;
        this.refilledAt = now;
    }

    /** Adds what has become available since the last call with the slots used until now. */
    void refill(long now) {
        double elapsedSeconds = Math.max(0, now - refilledAt) / NANOSECONDS_PER_SECOND;
        refilledAt = now;
        available = Math.min(capacity, available + elapsedSeconds * requestsPerSecond);
    }

    /** Sets how many slots are used from the last refill on; what was saved up beyond their reserve is lost. */
    void use(LimitSlots slots, int count) {
        requestsPerSecond = count * slots.requestsPerSecond();
        capacity = count * slots.reserve();
        available = Math.min(capacity, available);
    }

    /** Returns what may be sent in the long run, in requests per second. */
    double requestsPerSecond() {
        return requestsPerSecond;
    }

    boolean maySend() {
        return available >= 1;
    }

    /** Takes a request; calls that have to be made may take more than is available. */
    void take() {
        available--;
    }

    /** Returns the time until a request is available; empty if none will be. */
    Optional<Duration> untilAvailable() {
        if (requestsPerSecond == 0) {
            return Optional.empty();
        }
        double seconds = Math.max(0, 1 - available) / requestsPerSecond;
        return Optional.of(Duration.ofNanos((long) (seconds * NANOSECONDS_PER_SECOND)));
    }
}
