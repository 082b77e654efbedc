package org.aspenmoor.internal.time;

import java.time.Instant;

/** The two clocks of a process. */
public interface TimeSource {
    /** Returns nanoseconds on a clock that never steps back; only differences mean anything. */
    long monotonicNanoseconds();

    /** Returns the time of day, which may step; it is only shown to people and written into records. */
    Instant timeOfDay();
}
