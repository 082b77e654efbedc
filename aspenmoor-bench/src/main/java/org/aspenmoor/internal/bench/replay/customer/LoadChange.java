package org.aspenmoor.internal.bench.replay.customer;

/**
 * A period in which requests of a kind arrive at a different rate. The factors of overlapping changes multiply.
 *
 * @param kind name of the request kind
 * @param startSeconds start, in seconds of the day
 * @param durationSeconds length of the period
 * @param factor factor on the arrival rate
 */
public record LoadChange(String kind, double startSeconds, double durationSeconds, double factor) {
    /** Returns the factor on the arrival rate of a request kind at a given second of the day. */
    public double factorAt(String requestKind, double second) {
        boolean active = second >= startSeconds && second < startSeconds + durationSeconds;
        return active && kind.equals(requestKind) ? factor : 1;
    }
}
