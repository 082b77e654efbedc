package org.aspenmoor.internal.bench.replay.customer;

/**
 * A time in which a kind of request comes more or less often; changes that overlap multiply.
 *
 * @param kind the kind
 * @param startSeconds when it begins, in seconds of the day
 * @param durationSeconds how long it lasts
 * @param factor how many times as often requests come
 */
public record LoadChange(String kind, double startSeconds, double durationSeconds, double factor) {
    /** Returns how many times as often requests of a kind come at a moment. */
    public double factorAt(String requestKind, double second) {
        boolean active = second >= startSeconds && second < startSeconds + durationSeconds;
        return active && kind.equals(requestKind) ? factor : 1;
    }
}
