package org.aspenmoor.internal.standins.store;

import org.aspenmoor.internal.store.StoreBudgetException;
import org.aspenmoor.internal.store.client.CallBudget;
import org.aspenmoor.internal.time.TimeSource;

/** Limits of reads and writes per second. */
final class StoreLimits {
    private final CallBudget reads;
    private final CallBudget writes;

    StoreLimits(TimeSource time, int readsPerSecond, int writesPerSecond) {
        this.reads = new CallBudget(time, readsPerSecond, readsPerSecond);
        this.writes = new CallBudget(time, writesPerSecond, writesPerSecond);
    }

    boolean allowRead() {
        return allow(reads);
    }

    boolean allowWrite() {
        return allow(writes);
    }

    private static boolean allow(CallBudget budget) {
        try {
            budget.acquire("store stand-in");
            return true;
        } catch (StoreBudgetException exceeded) {
            return false;
        }
    }
}
