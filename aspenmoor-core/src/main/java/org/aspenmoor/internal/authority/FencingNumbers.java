package org.aspenmoor.internal.authority;

/**
 * The numbers that engines are given with orders.
 *
 * <p>The term of the plan alone would not do: two agents that obey the same plan, or one agent before and after a lost
 * answer, would give orders with equal numbers, and an engine that checks them could not tell the late one. So the
 * number holds the term in its upper digits and rises with every order of the engine.
 */
final class FencingNumbers {
    private static final int ORDER_BITS = 24;

    private FencingNumbers() {}

    /** Returns the number of the next order: above all earlier ones, and above all orders of earlier terms. */
    static long next(long lastRecorded, long highestSeenByEngine, long planTerm) {
        long lowestOfTerm = planTerm << ORDER_BITS;
        return Math.max(Math.max(lastRecorded, highestSeenByEngine) + 1, lowestOfTerm);
    }
}
