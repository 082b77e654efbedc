package org.aspenmoor.internal.authority;

import java.time.Duration;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Detects that the complete process was paused, from the gaps between the ticks of a thread that never blocks.
 *
 * <p>A thread that calls the store cannot distinguish a slow response from a pause; if it did the detection, an agent
 * would stop serving whenever the store is slow.
 *
 * <p>Not thread-safe.
 */
public final class PauseWatch {
    private final TimeSource time;
    private final Duration noticed;
    private long lastTickNanoseconds;

    public PauseWatch(TimeSource time, Duration noticed) {
        this.time = time;
        this.noticed = noticed;
        this.lastTickNanoseconds = time.monotonicNanos();
    }

    /** Returns whether the process was paused since the last tick; to be called several times a second, before any work. */
    public boolean tick() {
        long now = time.monotonicNanos();
        Duration gap = Duration.ofNanos(now - lastTickNanoseconds);
        lastTickNanoseconds = now;
        return gap.compareTo(noticed) >= 0;
    }
}
