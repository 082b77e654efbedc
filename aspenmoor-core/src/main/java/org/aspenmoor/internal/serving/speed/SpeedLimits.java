package org.aspenmoor.internal.serving.speed;

/** The range of slowdowns; what lies outside is a fault of a measurement rather than a speed. */
final class SpeedLimits {
    private static final double MAX_SLOWDOWN = 100;

    private SpeedLimits() {}

    static double clamp(double slowdown) {
        return Math.clamp(slowdown, 1 / MAX_SLOWDOWN, MAX_SLOWDOWN);
    }
}
