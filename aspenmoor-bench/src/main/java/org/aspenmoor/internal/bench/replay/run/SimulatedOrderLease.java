package org.aspenmoor.internal.bench.replay.run;

import java.time.Duration;
import org.aspenmoor.internal.duty.DutyLease;

/** The lease that an entry needs for an order to an engine, without the store's call times and lost answers. */
final class SimulatedOrderLease {
    private static final double NANOSECONDS = 1e9;

    /** The time that engines require between the orders of two holders. */
    private static final Duration PAUSE_BETWEEN_HOLDERS = Duration.ofSeconds(3);

    /** How long a call of the previous holder may be in transit. */
    private static final Duration MAX_TRANSIT = Duration.ofSeconds(1);

    private static final double TAKEOVER_SECONDS =
            DutyLease.VALIDITY.plus(PAUSE_BETWEEN_HOLDERS).plus(MAX_TRANSIT).toNanos() / NANOSECONDS;

    private String holder = "";
    private double renewedAtSeconds = -TAKEOVER_SECONDS;

    /** Tries to acquire or renew the lease; another entry's lease has to be unused for the takeover time. */
    boolean tryAcquire(String entry, double nowSeconds) {
        if (!holder.equals(entry) && nowSeconds - renewedAtSeconds < TAKEOVER_SECONDS) {
            return false;
        }
        holder = entry;
        renewedAtSeconds = nowSeconds;
        return true;
    }
}
