package org.aspenmoor.internal.rollout;

import org.aspenmoor.internal.time.TimeSource;

/**
 * The share of the weight store's rate that one rollout may use.
 *
 * <p>The weight store limits its rate. Loads beyond it are refused or crawl, and an engine that waits for its weights
 * serves nothing meanwhile; so a load is ordered only when the store can feed it.
 */
public final class LoadBudget {
    private static final double NANOSECONDS_OF_SECOND = 1e9;

    private final TimeSource timeSource;
    private final double loadsPerSecond;
    private final double mostSaved;
    private double saved;
    private long countedAt;

    public LoadBudget(TimeSource timeSource, double loadsPerSecond, double mostSaved) {
        this.timeSource = timeSource;
        this.loadsPerSecond = loadsPerSecond;
        this.mostSaved = mostSaved;
        this.saved = mostSaved;
        this.countedAt = timeSource.monotonicNanoseconds();
    }

    /** Takes one load if there is room for it now. */
    boolean take() {
        long now = timeSource.monotonicNanoseconds();
        saved = Math.min(mostSaved, saved + (now - countedAt) / NANOSECONDS_OF_SECOND * loadsPerSecond);
        countedAt = now;
        if (saved < 1) {
            return false;
        }
        saved--;
        return true;
    }
}
