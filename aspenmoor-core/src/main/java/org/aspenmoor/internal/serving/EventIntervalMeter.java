package org.aspenmoor.internal.serving;

/** Measures one engine's pace by the answers that this entry gets from it. */
final class EventIntervalMeter {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** An engine's pace follows its load, which changes within seconds. */
    private static final double HALF_LIFE_SECONDS = 1;

    private EventIntervals intervals = EventIntervals.NONE;
    private long updatedAt;

    /** Notes an event that came so long after the one before it. */
    void recordEvent(double intervalSeconds, long now) {
        intervals = intervals(now).plus(new EventIntervals(1, intervalSeconds));
        updatedAt = now;
    }

    EventIntervals intervals(long now) {
        double ageSeconds = Math.max(0, now - updatedAt) / NANOSECONDS_PER_SECOND;
        return intervals.scaled(Math.pow(0.5, ageSeconds / HALF_LIFE_SECONDS));
    }
}
