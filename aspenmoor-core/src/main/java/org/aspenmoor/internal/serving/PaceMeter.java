package org.aspenmoor.internal.serving;

/** Measures one engine's pace by the answers that this entry gets from it. */
final class PaceMeter {
    private static final double NANOSECONDS = 1e9;

    /** An engine's pace follows its load, which changes within seconds. */
    private static final double HALF_LIFE_SECONDS = 1;

    private EventPace seen = EventPace.NONE;
    private long seenAt;

    /** Notes an event that came so long after the one before it. */
    void event(double pauseSeconds, long now) {
        seen = seen(now).plus(new EventPace(1, pauseSeconds));
        seenAt = now;
    }

    EventPace seen(long now) {
        double age = Math.max(0, now - seenAt) / NANOSECONDS;
        return seen.weighted(Math.pow(0.5, age / HALF_LIFE_SECONDS));
    }
}
