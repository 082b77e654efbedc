package org.aspenmoor.internal.rollout;

/**
 * Bounds on a rollout.
 *
 * @param maxUnavailable how many engines of the service in the data centre may be draining or loading at once
 */
public record RolloutLimits(int maxUnavailable) {
    private static final int ENGINES_PER_UNAVAILABLE = 4;

    /** Returns the bound for a number of engines: a quarter of them, and at least one. */
    public static RolloutLimits forEngines(int engines) {
        return new RolloutLimits(Math.max(1, engines / ENGINES_PER_UNAVAILABLE));
    }
}
