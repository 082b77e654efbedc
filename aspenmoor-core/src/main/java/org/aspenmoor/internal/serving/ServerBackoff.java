package org.aspenmoor.internal.serving;

import java.time.Duration;

/**
 * The pause that a server has asked this entry for, and the step-by-step return after it. Times are nanoseconds of the
 * monotonic clock.
 *
 * <p>A server that is full asks all entries for a pause at about the same time. If they all returned with all their
 * requests when it ends, the server would be full again, and meanwhile their requests would have filled the others. So
 * an entry returns with one request and limits how many requests without an answer it has at the server, by slow start
 * up to half of what it had there when the server asked for the pause, and by additive increase from then on.
 */
final class ServerBackoff {
    /** Maximum part of a pause by which this entry returns later, at random, so that not all return at once. */
    private static final double MAX_SPREAD = 0.1;

    /** After this time without a pause the limit is given up. */
    private static final long LIMITED_NANOSECONDS = Duration.ofSeconds(10).toNanos();

    private long pausedUntil = Long.MIN_VALUE;
    private long limitedUntil = Long.MIN_VALUE;
    private double window;
    private double slowStartThreshold;

    /**
     * Records that the server has asked for a pause. The server expects each pause that it asks for to be kept, so a
     * shorter one does not end a longer one. Returns whether the server was not paused before.
     *
     * @param unanswered the requests of this entry at the server whose answer has not begun
     * @param random at random from 0 to 1
     */
    boolean requested(Duration pause, int unanswered, double random, long now) {
        boolean begins = !active(now);
        if (begins) {
            window = 1;
            slowStartThreshold = Math.max(1, unanswered / 2.0);
        }
        long spread = (long) (MAX_SPREAD * random * pause.toNanos());
        pausedUntil = Math.max(pausedUntil, now + pause.toNanos() + spread);
        limitedUntil = pausedUntil + LIMITED_NANOSECONDS;
        return begins;
    }

    boolean active(long now) {
        return now < pausedUntil;
    }

    /** Returns whether the pause is over and this entry returns step by step. */
    boolean returning(long now) {
        return limiting(now) && !active(now);
    }

    /** Returns whether the server is paused or this entry returns to it step by step. */
    boolean limiting(long now) {
        return now < limitedUntil;
    }

    /** Returns the time until the pause ends; zero if there is none. */
    Duration remaining(long now) {
        return active(now) ? Duration.ofNanos(pausedUntil - now) : Duration.ZERO;
    }

    /** Returns whether this entry may send the server one more request, given those whose answer has not begun. */
    boolean hasRoom(int unanswered, long now) {
        return !limiting(now) || (returning(now) && unanswered < window);
    }

    /** Records that an answer has begun. */
    void answered(long now) {
        if (returning(now)) {
            window += window < slowStartThreshold ? 1 : 1 / window;
        }
    }
}
