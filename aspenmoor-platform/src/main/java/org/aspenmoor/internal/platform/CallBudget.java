package org.aspenmoor.internal.platform;

import java.util.concurrent.TimeUnit;
import org.aspenmoor.internal.store.StoreBudgetException;
import org.aspenmoor.internal.time.TimeSource;

/**
 * The process's share of store calls: a token bucket.
 *
 * <p>The store counts every call and its rates grow more slowly than the fleet. Without a limit in each process, a
 * recovery in which all processes read at once would use up the store's rate and keep it from recovering.
 */
public final class CallBudget {
    private static final double NANOSECONDS_OF_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final TimeSource time;
    private final double callsPerSecond;
    private final int mostCallsAtOnce;
    private double available;
    private long lastRefill;

    public CallBudget(TimeSource time, double callsPerSecond, int mostCallsAtOnce) {
        this.time = time;
        this.callsPerSecond = callsPerSecond;
        this.mostCallsAtOnce = mostCallsAtOnce;
        this.available = mostCallsAtOnce;
        this.lastRefill = time.monotonicNanoseconds();
    }

    /** Takes one call out of the budget. */
    public synchronized void take(String place) throws StoreBudgetException {
        refill();
        if (available < 1) {
            throw new StoreBudgetException(
                    "The process has used its share of store calls; nothing was sent.",
                    place,
                    "Try again after a second, or raise the calls per second in the settings.");
        }
        available -= 1;
    }

    private void refill() {
        long now = time.monotonicNanoseconds();
        double earned = (now - lastRefill) / NANOSECONDS_OF_SECOND * callsPerSecond;
        available = Math.min(mostCallsAtOnce, available + earned);
        lastRefill = now;
    }
}
