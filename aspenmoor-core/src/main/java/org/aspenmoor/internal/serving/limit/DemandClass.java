package org.aspenmoor.internal.serving.limit;

/**
 * The order of magnitude of an entry's demand. It changes only when the demand has clearly left it: entries whose order
 * changed with each fluctuation would take turns in having a share, and lose what they have saved at each turn.
 */
final class DemandClass {
    /** Ratio between the demands of two neighbouring classes. */
    private static final double FACTOR = 4;

    /** Distance from a class, in classes, beyond which the demand has left it; more than half of a class. */
    private static final double MAX_DISTANCE = 0.8;

    /** Lower demands are all of the same class. */
    private static final double MIN_DEMAND = 0.05;

    private int current;

    /** Returns the ratio between the demands of a class and those of class zero. */
    static double weight(int demandClass) {
        return Math.pow(FACTOR, demandClass);
    }

    /** Returns the class that was returned last. */
    int current() {
        return current;
    }

    /** Returns the class for a demand in requests per second, given the previous class. */
    int update(double demand) {
        double exact = Math.log(Math.max(MIN_DEMAND, demand)) / Math.log(FACTOR);
        if (Math.abs(exact - current) > MAX_DISTANCE) {
            current = (int) Math.round(exact);
        }
        return current;
    }
}
