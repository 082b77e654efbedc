package org.aspenmoor.internal.serving;

/**
 * One entry's part of the load on one backend server.
 *
 * @param unansweredSeconds the work it placed there whose answers have not begun
 * @param requests the requests it has there
 * @param pace the pace that its answers from there show
 */
public record EntryLoad(double unansweredSeconds, int requests, EventIntervals eventIntervals) {
    /** No load. */
    public static final EntryLoad NONE = new EntryLoad(0, 0, EventIntervals.NONE);

    EntryLoad plus(EntryLoad other) {
        return new EntryLoad(
                unansweredSeconds + other.unansweredSeconds, requests + other.requests, eventIntervals.plus(other.eventIntervals));
    }
}
