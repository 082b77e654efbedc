package org.aspenmoor.internal.planning;

import org.aspenmoor.internal.routing.EngineSpeed;

/**
 * What a planner is tuned by.
 *
 * @param speed how fast engines are assumed to work
 * @param decodeBatch the batch at which decode work is priced
 * @param utilisation the share of an engine's time that planned work may fill
 * @param horizonSeconds how far ahead a change must have paid
 * @param maxUnavailableFraction the share of the engines that may be away at once
 * @param staleSeconds counts older than this make the planner stand still
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

    /** Returns the settings that the policy bench was tuned with. */
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
