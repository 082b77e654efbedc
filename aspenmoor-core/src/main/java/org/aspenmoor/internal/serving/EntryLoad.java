package org.aspenmoor.internal.serving;

/**
 * The load of one entry, or the sum over several entries, on one backend server.
 *
 * @param unansweredSeconds work assigned to the server whose answers have not started, in seconds
 * @param requests requests at the server
 * @param eventIntervals intervals between the events of answers from the server
 * @param heldTokens tokens of the prompts and answers of these requests, which occupy memory at an engine
 */
public record EntryLoad(double unansweredSeconds, int requests, EventIntervals eventIntervals, long heldTokens) {
    /** No load. */
    public static final EntryLoad NONE = new EntryLoad(0, 0, EventIntervals.NONE, 0);

    EntryLoad plus(EntryLoad other) {
        return new EntryLoad(
                unansweredSeconds + other.unansweredSeconds,
                requests + other.requests,
                eventIntervals.plus(other.eventIntervals),
                heldTokens + other.heldTokens);
    }

    /** Returns this load after a change; a lost message may make a change appear larger than the load. */
    EntryLoad changedBy(LoadChange change) {
        return new EntryLoad(
                Math.max(0, unansweredSeconds + change.unansweredSeconds()),
                Math.max(0, requests + change.requests()),
                eventIntervals,
                heldTokens);
    }
}
