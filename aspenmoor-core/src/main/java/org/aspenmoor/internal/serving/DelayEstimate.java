package org.aspenmoor.internal.serving;

/** How much longer than expected the answers of one engine take to start, compared with others that have its role. */
final class DelayEstimate {
    /** Weight of a new answer. */
    private static final double WEIGHT = 0.1;

    /** The slowdown is limited so that a server gets enough work to show that it has recovered. */
    private static final double MAX_SLOWDOWN = 6;

    /**
     * Minimum expected time for the slowdown; shorter times depend on the network rather than on the server's speed.
     */
    private static final double MIN_EXPECTED_SECONDS = 0.02;

    private double slowdown = 1;

    /**
     * Returns how many times longer than the settings specify work takes until an answer starts.
     *
     * @param typical the start delays of all engines with the same role
     */
    double slowdown(StartDelay typical) {
        return slowdown * typical.workFactor();
    }

    /** Forgets what was learned, because the engine has another role. */
    void reset() {
        slowdown = 1;
    }

    /**
     * Learns from the start of an answer.
     *
     * @param tookSeconds time from sending the request to the start of the answer
     * @param stated how many times longer than usual work took meanwhile, as the engine stated
     * @param typical the start delays of all engines with the same role, which learn too
     */
    void answerStarted(AssignedWork work, double tookSeconds, double stated, StartDelay typical) {
        if (work.nominalWorkSeconds() > 0) {
            double slowdownAtStart = work.expectedWorkSeconds() / work.nominalWorkSeconds();
            double expectedSeconds = expectedSeconds(work, stated);
            double workSeconds = Math.max(0, expectedSeconds - typical.fixedSeconds());
            typical.answerStarted(workSeconds * slowdown(typical) / slowdownAtStart, tookSeconds);
        }
        slowdown = updated(slowdown, work, tookSeconds, stated);
    }

    /** Returns a slowdown after the start of an answer. */
    static double updated(double slowdown, AssignedWork work, double tookSeconds, double stated) {
        double expectedSeconds = Math.max(MIN_EXPECTED_SECONDS, expectedSeconds(work, stated));
        double ratio = Math.clamp(tookSeconds / expectedSeconds, 1, MAX_SLOWDOWN);
        return slowdown + WEIGHT * (ratio - slowdown);
    }

    private static double expectedSeconds(AssignedWork work, double stated) {
        return work.expectedAnswerSeconds() / work.statedSlowdown() * stated;
    }
}
