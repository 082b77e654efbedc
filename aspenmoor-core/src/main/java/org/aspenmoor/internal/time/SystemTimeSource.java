package org.aspenmoor.internal.time;

import java.time.Instant;

/** The clocks of the operating system. */
public final class SystemTimeSource implements TimeSource {
    @Override
    public long monotonicNanos() {
        return System.nanoTime();
    }

    @Override
    public Instant wallClockTime() {
        return Instant.now();
    }
}
