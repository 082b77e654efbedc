package org.aspenmoor.internal.planning;

/**
 * The work that one kind asks for.
 *
 * @param weight how much one completed request counts
 * @param requestsPerSecond how many arrive
 * @param prefillSeconds engine-seconds of prefill of one request
 * @param decodeSeconds engine-seconds of decode of one request
 * @param maxPrefillFraction the greatest share of its time that an engine may compute prompts while it generates an answer
 *     of this kind, so that the answer still comes in time
 */
public record KindDemand(
        double weight, double requestsPerSecond, double prefillSeconds, double decodeSeconds, double maxPrefillFraction) {
    /** Returns the same kind arriving more or less often. */
    public KindDemand scaled(double factor) {
        return new KindDemand(weight, requestsPerSecond * factor, prefillSeconds, decodeSeconds, maxPrefillFraction);
    }
}
