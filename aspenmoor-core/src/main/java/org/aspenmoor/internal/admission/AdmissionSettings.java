package org.aspenmoor.internal.admission;

/**
 * What a queue is tuned by.
 *
 * @param mostWaiting how many requests may wait
 * @param initialEngines how many engine-seconds a second the service is assumed to have before any was measured
 * @param rateMemorySeconds over how many seconds the measured rate forgets
 */
public record AdmissionSettings(int mostWaiting, double initialEngines, double rateMemorySeconds) {
    private static final int USUAL_MOST_WAITING = 512;
    private static final double USUAL_RATE_MEMORY_SECONDS = 4;

    /** Returns the settings that the policy bench was tuned with, for a number of engines. */
    public static AdmissionSettings usual(double engines) {
        return new AdmissionSettings(USUAL_MOST_WAITING, engines, USUAL_RATE_MEMORY_SECONDS);
    }
}
