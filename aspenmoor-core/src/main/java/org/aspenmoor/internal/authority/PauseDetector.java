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
public final class PauseDetector {
    private final TimeSource time;
    private final Duration threshold;
    private long lastTickNanos;

    public PauseDetector(TimeSource time, Duration threshold) {
        this.time = time;
        this.threshold = threshold;
        this.lastTickNanos = time.monotonicNanos();
    }

    /**
     * Returns whether the process was paused since the last tick; to be called several times a second, before any work.
     */
    public boolean pausedSinceLastTick() {
        long now = time.monotonicNanos();
        Duration gap = Duration.ofNanos(now - lastTickNanos);
        lastTickNanos = now;
        return gap.compareTo(threshold) >= 0;
    }
}
