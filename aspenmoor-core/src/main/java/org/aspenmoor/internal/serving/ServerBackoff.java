package org.aspenmoor.internal.serving;

import java.time.Duration;

/** The pause that a server has asked this entry for. Times are nanoseconds of the monotonic clock. */
final class ServerBackoff {
    private long pausedUntil = Long.MIN_VALUE;

    /**
     * Records that the server has asked for a pause. The server expects each pause that it asks for to be kept, so a
     * shorter one does not end a longer one. Returns whether the server was not paused before.
     */
    boolean requested(Duration pause, long now) {
        boolean begins = !active(now);
        pausedUntil = Math.max(pausedUntil, now + pause.toNanos());
        return begins;
    }

    boolean active(long now) {
        return now < pausedUntil;
    }

    /** Returns the time until the pause ends; zero if there is none. */
    Duration remaining(long now) {
        return active(now) ? Duration.ofNanos(pausedUntil - now) : Duration.ZERO;
    }
}
