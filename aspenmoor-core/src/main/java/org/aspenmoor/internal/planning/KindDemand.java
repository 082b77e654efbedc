package org.aspenmoor.internal.planning;

/**
 * The work that one kind asks for.
 *
 * @param weight how much one completed request counts
 * @param requestsPerSecond how many arrive
 * @param prefillSeconds engine-seconds of prefill of one request
 * @param decodeSeconds engine-seconds of decode of one request
 */
public record KindDemand(double weight, double requestsPerSecond, double prefillSeconds, double decodeSeconds) {
    /** Returns the same kind arriving more or less often. */
    public KindDemand scaled(double factor) {
        return new KindDemand(weight, requestsPerSecond * factor, prefillSeconds, decodeSeconds);
    }
}
