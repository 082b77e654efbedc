package org.aspenmoor.internal.authority;

/**
 * Computes the fencing numbers of orders.
 *
 * <p>The term of the plan alone is not sufficient: two agents that execute the same plan, or one agent before and after
 * a lost response, would send orders with equal numbers, and an engine that checks numbers could not recognise the
 * outdated order. Therefore the upper bits hold the term, and the number increases with every order of the engine.
 */
final class FencingNumbers {
    private static final int ORDER_BITS = 24;

    private FencingNumbers() {}

    /**
     * Returns the number of the next order, which is higher than all earlier orders and all orders of earlier terms.
     */
    static long next(long lastRecorded, long highestSeenByEngine, long planTerm) {
        long lowestOfTerm = planTerm << ORDER_BITS;
        return Math.max(Math.max(lastRecorded, highestSeenByEngine) + 1, lowestOfTerm);
    }
}
