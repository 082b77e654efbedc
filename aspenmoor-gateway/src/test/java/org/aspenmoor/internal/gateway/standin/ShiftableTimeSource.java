package org.aspenmoor.internal.gateway.standin;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;
import org.aspenmoor.internal.time.SystemTimeSource;
import org.aspenmoor.internal.time.TimeSource;

/** The clocks of the operating system, of which the monotonic one can be moved forward. */
final class ShiftableTimeSource implements TimeSource {
    private final TimeSource system = new SystemTimeSource();
    private final AtomicLong shiftNanos = new AtomicLong();

    void advance(Duration duration) {
        shiftNanos.addAndGet(duration.toNanos());
    }

    @Override
    public long monotonicNanos() {
        return system.monotonicNanos() + shiftNanos.get();
    }

    @Override
    public Instant wallClockTime() {
        return system.wallClockTime();
    }
}
