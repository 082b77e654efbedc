package org.aspenmoor.internal.serving;

/**
 * What an answer shows of the usual speed of its server. What the server stated of the time of the work is no part of
 * it, so that a slow phase does not count twice.
 */
final class SpeedObservation {
    /** Work shorter than this fraction of the fixed part of an answer's time does not show the speed. */
    private static final double MIN_MEASURED_FRACTION = 0.25;

    private SpeedObservation() {}

    /**
     * Learns from an answer. Work that may have waited only shows that it took no longer than the whole time.
     *
     * @param workedSeconds the time until the answer, less its fixed part
     * @param fixedSeconds the fixed part of an answer's time; zero if the service is a plain one
     * @param stated how many times longer than usual work took at the time, as the server stated it
     */
    static void learn(
            ServerEstimate server,
            AssignedWork work,
            double workedSeconds,
            double fixedSeconds,
            double stated,
            long now) {
        double nominalSeconds = work.nominalWorkSeconds() * stated;
        boolean tooShort = work.learnedWorkSeconds() * stated < MIN_MEASURED_FRACTION * fixedSeconds;
        if (tooShort || nominalSeconds <= 0 || workedSeconds <= 0) {
            return;
        }
        double multiple = workedSeconds / nominalSeconds;
        if (work.serverWasIdle() || multiple < server.slowdownFromSettings(now)) {
            server.knownSpeed().workObserved(multiple, now);
        }
    }
}
