package org.aspenmoor.internal.serving.freshness;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether the list of servers is young enough to send requests by it. Confined to the event loop; {@code now} is
 * the monotonic clock in nanoseconds.
 *
 * <p>An entry with little processor time applies changes late and sends late. By a list whose age is near the bound, a
 * request would reach a server that has left longer ago than the bound allows.
 */
final class ListReliability {
    /** Part of the bound that is left for requests on their way. */
    private static final int TRANSIT_PART = 5;

    /** A poll that fails although the event loop was less late than this has probably failed because of the store. */
    private static final Duration MAX_USUAL_LATENESS = Duration.ofMillis(200);

    private final Optional<Duration> bound;
    private Optional<Long> lateAt = Optional.empty();
    private Optional<Long> interruptedAt = Optional.empty();
    private Optional<Long> listedAt = Optional.empty();

    /**
     * Creates an instance.
     *
     * @param bound time after which no request may reach a server that has left; without it, any list is relied on
     */
    ListReliability(Optional<Duration> bound) {
        this.bound = bound;
    }

    /** Records how late the event loop has run. */
    void eventLoopRan(Duration lateness, long now) {
        if (lateness.compareTo(MAX_USUAL_LATENESS) > 0) {
            lateAt = Optional.of(now);
        }
    }

    /** Records that the list cannot be confirmed at present. */
    void interrupted(long now) {
        if (interruptedAt.isEmpty()) {
            interruptedAt = Optional.of(now);
        }
    }

    /**
     * Records that the whole list has been read, which confirms it too.
     *
     * @param requestedAt when the listing was requested
     */
    void listed(long requestedAt) {
        interruptedAt = Optional.empty();
        listedAt = Optional.of(requestedAt);
    }

    /**
     * Returns whether requests may be sent by the list now. While the store is unavailable, nobody can do better. A poll
     * that failed at an entry which was late itself says nothing of the store, so the entry waits for the next one.
     *
     * @param polledAt when the poll was sent that confirmed the applied list last; empty before the first poll
     * @param lateness how late the event loop runs at present
     */
    boolean reliable(Optional<Long> polledAt, Duration lateness, long now) {
        Optional<Long> confirmedAt = later(polledAt, listedAt);
        if (bound.isEmpty() || confirmedAt.isEmpty()) {
            return true;
        }
        long longest = bound.get().toNanos();
        if (interruptedAt.isPresent()) {
            long at = interruptedAt.get();
            boolean wasLate =
                    lateAt.filter(late -> at - late >= 0 && at - late < longest).isPresent();
            return !wasLate || now - at >= longest;
        }
        return now - confirmedAt.get() <= longest - longest / TRANSIT_PART - lateness.toNanos();
    }

    private static Optional<Long> later(Optional<Long> one, Optional<Long> other) {
        boolean otherLater = one.isEmpty() || (other.isPresent() && other.get() - one.get() > 0);
        return otherLater ? other : one;
    }
}
