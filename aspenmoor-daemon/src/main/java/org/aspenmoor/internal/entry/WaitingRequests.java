package org.aspenmoor.internal.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Requests that wait for a backend server, up to a limit. Partly delivered streams come first, then requests of greater
 * weight, then those with the earlier deadline.
 */
final class WaitingRequests {
    private static final double SMOOTHING = 0.1;
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);

    private final TreeSet<ActiveRequest> waiting = new TreeSet<>(Comparator.comparing(ActiveRequest::hasDeliveredTokens)
            .reversed()
            .thenComparing(request -> request.kind().weight(), Comparator.reverseOrder())
            .thenComparingLong(ActiveRequest::deadlineAt)
            .thenComparing(request -> request.id().toString()));
    private final int maxWaiting;
    private double secondsBetweenStarts;
    private long lastStartAt;

    WaitingRequests(int maxWaiting) {
        this.maxWaiting = maxWaiting;
    }

    /** Adds a request; returns the request displaced by it, which may be the same one. */
    Optional<ActiveRequest> add(ActiveRequest request) {
        waiting.add(request);
        if (waiting.size() <= maxWaiting || waiting.last().hasDeliveredTokens()) {
            return Optional.empty();
        }
        return Optional.ofNullable(waiting.pollLast());
    }

    void remove(ActiveRequest request) {
        waiting.remove(request);
    }

    List<ActiveRequest> inOrder() {
        return new ArrayList<>(waiting);
    }

    int size() {
        return waiting.size();
    }

    /** Records the start of a waiting request, for the estimate of the start rate. */
    void recordStart(long now) {
        double seconds = (now - lastStartAt) / (double) Duration.ofSeconds(1).toNanos();
        secondsBetweenStarts = (1 - SMOOTHING) * secondsBetweenStarts + SMOOTHING * seconds;
        lastStartAt = now;
    }

    /** Returns the estimated time until all waiting requests have started. */
    Duration estimatedTimeToEmpty() {
        Duration estimate = Duration.ofMillis((long) (waiting.size() * secondsBetweenStarts * 1000));
        return estimate.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : estimate;
    }
}
