package org.aspenmoor.internal.planning;

/**
 * The demand of one kind.
 *
 * @param weight the value of one completed request
 * @param requestsPerSecond the arrival rate
 * @param prefillSeconds engine-seconds of prefill per request
 * @param decodeSeconds engine-seconds of decode per request
 * @param maxPrefillFraction the maximum fraction of its time that an engine may spend on prefill while it generates an
 *     answer of this kind, such that the answer meets its deadline
 */
public record KindDemand(
        double weight,
        double requestsPerSecond,
        double prefillSeconds,
        double decodeSeconds,
        double maxPrefillFraction) {
    /** Returns the same demand with the arrival rate multiplied by a factor. */
    public KindDemand scaled(double factor) {
        return new KindDemand(weight, requestsPerSecond * factor, prefillSeconds, decodeSeconds, maxPrefillFraction);
    }
}
