package org.aspenmoor.internal.time;

import java.time.Duration;
import java.time.Instant;

/** A clock that moves only when it is advanced, for tests and simulations. */
public final class ManualTimeSource implements TimeSource {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private long elapsedNanos;

    /** Advances the clock. */
    public void advance(Duration step) {
        advanceNanos(step.toNanos());
    }

    /** Advances the clock by the given nanoseconds. */
    public void advanceNanos(long nanos) {
        elapsedNanos += nanos;
    }

    @Override
    public long monotonicNanos() {
        return elapsedNanos;
    }

    @Override
    public Instant wallClockTime() {
        return START.plusNanos(elapsedNanos);
    }
}
