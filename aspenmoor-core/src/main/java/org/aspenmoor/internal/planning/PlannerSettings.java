package org.aspenmoor.internal.planning;

import org.aspenmoor.internal.routing.EngineSpeed;

/**
 * What a planner is tuned by.
 *
 * @param speed how fast engines are assumed to work
 * @param decodeBatch the batch at which decode work is priced
 * @param utilisation the share of an engine's time that planned work may fill
 * @param horizonSeconds how far ahead a change must have paid
 * @param mostAwayShare the share of the engines that may be away at once
 * @param staleSeconds counts older than this make the planner stand still
 */
public record PlannerSettings(
        EngineSpeed speed,
        int decodeBatch,
        double utilisation,
        double horizonSeconds,
        double mostAwayShare,
        double staleSeconds) {
    private static final int USUAL_BATCH = 32;
    private static final double USUAL_UTILISATION = 0.85;
    private static final double USUAL_HORIZON_SECONDS = 60;
    private static final double USUAL_MOST_AWAY_SHARE = 0.75;
    private static final double USUAL_STALE_SECONDS = 5;

    /** Returns the settings that the policy bench was tuned with. */
    public static PlannerSettings usual() {
        return new PlannerSettings(
                EngineSpeed.defaults(),
                USUAL_BATCH,
                USUAL_UTILISATION,
                USUAL_HORIZON_SECONDS,
                USUAL_MOST_AWAY_SHARE,
                USUAL_STALE_SECONDS);
    }
}
