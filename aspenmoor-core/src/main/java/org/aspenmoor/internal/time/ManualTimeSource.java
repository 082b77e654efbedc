package org.aspenmoor.internal.time;

import java.time.Duration;
import java.time.Instant;

/** A clock that moves only when told to, for tests and benches. */
public final class ManualTimeSource implements TimeSource {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private long nanoseconds;

    /** Moves the clock forward. */
    public void advance(Duration step) {
        advanceNanoseconds(step.toNanos());
    }

    /** Moves the clock forward by nanoseconds. */
    public void advanceNanoseconds(long step) {
        nanoseconds += step;
    }

    @Override
    public long monotonicNanoseconds() {
        return nanoseconds;
    }

    @Override
    public Instant timeOfDay() {
        return START.plusNanos(nanoseconds);
    }
}
