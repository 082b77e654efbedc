package org.aspenmoor.internal.serving;

/**
 * The load of one entry, or the sum over several entries, on one backend server.
 *
 * @param unansweredSeconds work assigned to the server whose answers have not started, in seconds
 * @param requests requests at the server
 * @param eventIntervals intervals between the events of answers from the server
 */
public record EntryLoad(double unansweredSeconds, int requests, EventIntervals eventIntervals) {
    /** No load. */
    public static final EntryLoad NONE = new EntryLoad(0, 0, EventIntervals.NONE);

    EntryLoad plus(EntryLoad other) {
        return new EntryLoad(
                unansweredSeconds + other.unansweredSeconds,
                requests + other.requests,
                eventIntervals.plus(other.eventIntervals));
    }
}
