package org.aspenmoor.internal.rollout;

/**
 * Limits of a rollout.
 *
 * @param maxUnavailable maximum number of engines of the service in the data centre that drain or load at the same
 *     time
 */
public record RolloutLimits(int maxUnavailable) {
    private static final int ENGINES_PER_UNAVAILABLE = 4;

    /** Returns the limits for a number of engines: a quarter of them, and at least one, may be unavailable. */
    public static RolloutLimits forEngines(int engines) {
        return new RolloutLimits(Math.max(1, engines / ENGINES_PER_UNAVAILABLE));
    }
}
