package org.aspenmoor.internal.time;

import java.time.Instant;

/** Provides the monotonic clock and the wall clock of a process. */
public interface TimeSource {
    /** Returns the monotonic clock in nanoseconds; only differences between two readings are meaningful. */
    long monotonicNanos();

    /** Returns the wall clock, which may jump; only for display and for timestamps in records. */
    Instant wallClockTime();
}
