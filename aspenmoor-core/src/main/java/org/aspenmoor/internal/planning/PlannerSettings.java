package org.aspenmoor.internal.planning;

import org.aspenmoor.internal.routing.EngineSpeed;

/**
 * Settings of a {@link RolePlanner}.
 *
 * @param speed the assumed speed of engines
 * @param decodeBatch the assumed batch size of decode, in sequences
 * @param utilisation the fraction of the time of an engine that planned work may use
 * @param horizonSeconds the time within which a role change must pay off
 * @param maxUnavailableFraction the maximum fraction of the engines that are unavailable at the same time
 * @param staleSeconds the maximum age of the counts; with older counts the planner keeps all roles
 */
public record PlannerSettings(
        EngineSpeed speed,
        int decodeBatch,
        double utilisation,
        double horizonSeconds,
        double maxUnavailableFraction,
        double staleSeconds) {
    private static final int DEFAULT_DECODE_BATCH = 32;
    private static final double DEFAULT_UTILISATION = 0.85;
    private static final double DEFAULT_HORIZON_SECONDS = 60;
    private static final double DEFAULT_MAX_UNAVAILABLE_FRACTION = 0.75;
    private static final double DEFAULT_STALE_SECONDS = 5;

    /** Returns the default settings. */
    public static PlannerSettings defaults() {
        return new PlannerSettings(
                EngineSpeed.defaults(),
                DEFAULT_DECODE_BATCH,
                DEFAULT_UTILISATION,
                DEFAULT_HORIZON_SECONDS,
                DEFAULT_MAX_UNAVAILABLE_FRACTION,
                DEFAULT_STALE_SECONDS);
    }
}
