package org.aspenmoor.internal.serving.speed;

import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.serving.BackendServer;

/** The probes of this entry to one server incarnation. Times are nanoseconds of the monotonic clock. */
final class ProbedServer {
    private static final long MIN_PAUSE_NANOSECONDS = Duration.ofSeconds(1).toNanos();
    private static final long MAX_PAUSE_NANOSECONDS = Duration.ofSeconds(10).toNanos();

    /** Doubling the shortest pause more often exceeds the longest one. */
    private static final int MAX_DOUBLINGS = 4;

    private final BackendServer server;
    private boolean outstanding;
    private long sentAt;
    private Optional<Long> statingSince = Optional.empty();
    private long pausedUntil = Long.MIN_VALUE;
    private int unsuccessful;

    ProbedServer(BackendServer server) {
        this.server = server;
    }

    boolean describes(BackendServer other) {
        return server.sameIncarnation(other);
    }

    /** Returns since when it has been known that servers of its service state their slowdown; now if it was not. */
    long statingSince(long now) {
        statingSince = statingSince.or(() -> Optional.of(now));
        return statingSince.get();
    }

    long sentAt() {
        return sentAt;
    }

    boolean outstanding() {
        return outstanding;
    }

    boolean mayBeProbed(long now) {
        return !outstanding && now >= pausedUntil;
    }

    void sent(long now) {
        outstanding = true;
        sentAt = now;
    }

    void succeeded() {
        outstanding = false;
        unsuccessful = 0;
    }

    /** Records a probe without a statement; the next one follows after a pause that doubles each time. */
    void unsuccessful(long now) {
        outstanding = false;
        long pause = MIN_PAUSE_NANOSECONDS << Math.min(unsuccessful, MAX_DOUBLINGS);
        pausedUntil = now + Math.min(pause, MAX_PAUSE_NANOSECONDS);
        unsuccessful++;
    }
}
