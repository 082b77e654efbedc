package org.aspenmoor.internal.bench.replay.customer;

/**
 * A time in which a kind of request comes more or less often; changes that overlap multiply.
 *
 * @param kind the kind
 * @param fromSeconds when it begins, in seconds of the day
 * @param seconds how long it lasts
 * @param times how many times as often requests come
 */
public record LoadChange(String kind, double fromSeconds, double seconds, double times) {
    /** Returns how many times as often requests of a kind come at a moment. */
    public double at(String askedKind, double second) {
        boolean within = second >= fromSeconds && second < fromSeconds + seconds;
        return within && kind.equals(askedKind) ? times : 1;
    }
}
