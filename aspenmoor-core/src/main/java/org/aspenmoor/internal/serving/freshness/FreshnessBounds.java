package org.aspenmoor.internal.serving.freshness;

import java.time.Duration;

/**
 * The time limits of the polls of one collection when entries confirm its state to each other, derived from the bound
 * that every entry must meet by itself.
 *
 * @param bound time within which a change that the store has accepted must be in force at every entry
 * @param callTimeout time after which a call to the store counts as failed
 * @param regularInterval interval of an entry's polls when entries confirm nothing to each other
 */
public record FreshnessBounds(Duration bound, Duration callTimeout, Duration regularInterval) {
    /** The failed call and its retry. */
    private static final int CALLS = 2;

    /** Part of the bound for reports in transit, and for threads that run late on a busy host. */
    private static final int DELAY_PART = 10;

    /** With less of the bound left between polls, entries would poll more often than they do by themselves. */
    private static final int MIN_LIMIT_PART = 3;

    /** The rest of the limit covers the time until the observer's next report. */
    private static final double FIRST_OBSERVER_FRACTION = 0.6;

    /** The other observers replace the first one's lost reports, and must be seen to work within the limit. */
    private static final double OBSERVER_FRACTION = 0.9;

    /** A long poll confirms nothing until it ends, by when the confirmation before it is twice as old. */
    private static final double WAIT_FRACTION = 0.45;

    /** Bounds how long equal digests of different contents go unnoticed. */
    private static final int LONGEST_INTERVAL_FACTOR = 10;

    /**
     * The store has to keep the heartbeats of this period, and a slow link has to carry them within the time limit of a
     * call.
     */
    private static final int LONGEST_INTERVAL_FACTOR_WITH_HEARTBEATS = 4;

    /** Returns whether the bound leaves enough time between polls for entries to save any. */
    public boolean sufficient() {
        return confirmationLimit().multipliedBy(MIN_LIMIT_PART).compareTo(bound) >= 0;
    }

    /** Returns the age of a confirmation at which an entry polls: the bound, less a failed call and its retry. */
    public Duration confirmationLimit() {
        return bound.minus(callTimeout.multipliedBy(CALLS)).minus(bound.dividedBy(DELAY_PART));
    }

    /** Returns the interval of the polls of the first observer, which usually suffices for the others. */
    public Duration firstObserverInterval() {
        return shorter(fractionOfLimit(FIRST_OBSERVER_FRACTION), regularInterval);
    }

    /** Returns the interval of the polls of the other observers, given the interval of the reports between entries. */
    public Duration observerInterval(Duration reportInterval) {
        boolean reportsRare = reportInterval.compareTo(confirmationLimit().dividedBy(2)) > 0;
        return reportsRare ? firstObserverInterval() : shorter(fractionOfLimit(OBSERVER_FRACTION), regularInterval);
    }

    /** Returns how long a long poll of an observer may wait at the store. */
    public Duration observerWait() {
        return fractionOfLimit(WAIT_FRACTION);
    }

    /** Returns the minimum interval between polls because a peer saw another state. */
    public Duration otherStateInterval() {
        return shorter(confirmationLimit(), regularInterval);
    }

    /** Returns the longest interval between two polls of one entry, given how fast changes accumulate at the store. */
    public Duration longestOwnInterval(ObservedCollection collection) {
        return switch (collection) {
            case CONFIGURATION -> bound.multipliedBy(LONGEST_INTERVAL_FACTOR);
            case SERVERS -> bound.multipliedBy(LONGEST_INTERVAL_FACTOR_WITH_HEARTBEATS);
        };
    }

    private static Duration shorter(Duration one, Duration other) {
        return one.compareTo(other) < 0 ? one : other;
    }

    private Duration fractionOfLimit(double fraction) {
        return Duration.ofNanos((long) (confirmationLimit().toNanos() * fraction));
    }
}
