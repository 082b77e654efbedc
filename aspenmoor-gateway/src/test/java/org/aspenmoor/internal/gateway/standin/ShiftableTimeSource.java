package org.aspenmoor.internal.gateway.standin;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.aspenmoor.internal.time.SystemTimeSource;
import org.aspenmoor.internal.time.TimeSource;

/** The clocks of the operating system, of which the monotonic one can be moved forward and stopped. */
public final class ShiftableTimeSource implements TimeSource {
    private final TimeSource system = new SystemTimeSource();
    private final AtomicLong shiftNanos = new AtomicLong();
    private volatile Optional<Long> frozenAt = Optional.empty();

    /** Stops the monotonic clock, which moves by {@link #advance} only from now on. */
    public void freeze() {
        frozenAt = Optional.of(system.monotonicNanos());
    }

    public void advance(Duration duration) {
        shiftNanos.addAndGet(duration.toNanos());
    }

    @Override
    public long monotonicNanos() {
        return frozenAt.orElseGet(system::monotonicNanos) + shiftNanos.get();
    }

    @Override
    public Instant wallClockTime() {
        return system.wallClockTime();
    }
}
