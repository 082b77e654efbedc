package org.aspenmoor.internal.authority;

import java.time.Duration;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Notices that the whole process has stood still, from gaps between the ticks of a thread that never blocks.
 *
 * <p>A thread that calls the store cannot tell a slow answer from a pause; were it to watch, an agent would stop serving
 * whenever the store is slow.
 *
 * <p>Used by one thread only.
 */
public final class PauseWatch {
    private final TimeSource time;
    private final Duration noticed;
    private long lastTickNanoseconds;

    public PauseWatch(TimeSource time, Duration noticed) {
        this.time = time;
        this.noticed = noticed;
        this.lastTickNanoseconds = time.monotonicNanoseconds();
    }

    /** Says whether the process has stood still since the last tick; call it before any work, several times a second. */
    public boolean tick() {
        long now = time.monotonicNanoseconds();
        Duration gap = Duration.ofNanos(now - lastTickNanoseconds);
        lastTickNanoseconds = now;
        return gap.compareTo(noticed) >= 0;
    }
}
