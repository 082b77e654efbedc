package org.aspenmoor.internal.serving;

/** Measures the intervals between events in the answers that this entry receives from one engine. */
final class EventIntervalMeter {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** The decode rate of an engine follows its load, which changes within seconds. */
    private static final double HALF_LIFE_SECONDS = 1;

    private EventIntervals intervals = EventIntervals.NONE;
    private long updatedAt;

    /** Records an event and the interval since the previous event of the same answer. */
    void recordEvent(double intervalSeconds, long now) {
        intervals = intervals(now).plus(new EventIntervals(1, intervalSeconds));
        updatedAt = now;
    }

    EventIntervals intervals(long now) {
        double ageSeconds = Math.max(0, now - updatedAt) / NANOSECONDS_PER_SECOND;
        return intervals.scaled(Math.pow(0.5, ageSeconds / HALF_LIFE_SECONDS));
    }
}
