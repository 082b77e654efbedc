package org.aspenmoor.internal.bench.replay.run;

import java.time.Duration;
import java.util.Optional;
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
    private long fencingNumber;
    private double renewedAtSeconds = -TAKEOVER_SECONDS;

    /**
     * Tries to acquire or renew the lease and returns the fencing number; another entry's lease has to be unused for the
     * takeover time.
     */
    Optional<Long> tryAcquire(String entry, double nowSeconds) {
        if (!holder.equals(entry) && nowSeconds - renewedAtSeconds < TAKEOVER_SECONDS) {
            return Optional.empty();
        }
        holder = entry;
        renewedAtSeconds = nowSeconds;
        fencingNumber++;
        return Optional.of(fencingNumber);
    }
}
