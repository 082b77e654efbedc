package org.aspenmoor.internal.admission;

/**
 * What a queue is tuned by.
 *
 * @param maxWaiting how many requests may wait
 * @param initialRate how many engine-seconds a second the service is assumed to have before any was measured
 * @param rateSmoothingSeconds over how many seconds the measured rate forgets
 */
public record AdmissionSettings(int maxWaiting, double initialRate, double rateSmoothingSeconds) {
    private static final int DEFAULT_MAX_WAITING = 512;
    private static final double DEFAULT_RATE_SMOOTHING_SECONDS = 4;

    /** Returns the settings that the policy bench was tuned with, for a number of engines. */
    public static AdmissionSettings defaults(double engines) {
        return new AdmissionSettings(DEFAULT_MAX_WAITING, engines, DEFAULT_RATE_SMOOTHING_SECONDS);
    }
}
