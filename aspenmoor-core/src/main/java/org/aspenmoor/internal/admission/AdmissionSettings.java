package org.aspenmoor.internal.admission;

/**
 * Settings of an {@link AdmissionQueue}.
 *
 * @param maxWaiting the maximum number of waiting requests
 * @param initialRate the service rate assumed before the first measurement, in engine-seconds per second
 * @param rateSmoothingSeconds time constant of the exponential smoothing of the measured service rate
 */
public record AdmissionSettings(int maxWaiting, double initialRate, double rateSmoothingSeconds) {
    private static final int DEFAULT_MAX_WAITING = 512;
    private static final double DEFAULT_RATE_SMOOTHING_SECONDS = 4;

    /** Returns the default settings for a number of engines. */
    public static AdmissionSettings defaults(double engines) {
        return new AdmissionSettings(DEFAULT_MAX_WAITING, engines, DEFAULT_RATE_SMOOTHING_SECONDS);
    }
}
