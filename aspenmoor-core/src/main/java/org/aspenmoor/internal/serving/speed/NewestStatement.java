package org.aspenmoor.internal.serving.speed;

import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.serving.StatedSlowdown;

/** The newest slowdown that one server incarnation has stated; times are nanoseconds of the monotonic clock. */
final class NewestStatement {
    /** Hosts are slow for about half a second at a time, so an older statement says nothing of the present. */
    static final long MAX_AGE_NANOSECONDS = Duration.ofSeconds(1).toNanos();

    /** After this time a server that stated that it is slow is as likely to be back at its lasting speed as not. */
    private static final double HALF_LIFE_NANOSECONDS = Duration.ofMillis(300).toNanos();

    private double factor;
    private long statedAt;
    private boolean present;

    /** Applies a statement; an older one than the newest is ignored. Returns whether it is the newest. */
    boolean stated(double newFactor, long at) {
        if (present && at < statedAt) {
            return false;
        }
        factor = newFactor;
        statedAt = at;
        present = true;
        return true;
    }

    /** Returns when the newest statement was made; empty if there is none. */
    Optional<Long> statedAt() {
        return present ? Optional.of(statedAt) : Optional.empty();
    }

    /** Returns the newest statement with its age; empty if there is none. */
    Optional<StatedSlowdown> newest(long now) {
        return present
                ? Optional.of(new StatedSlowdown(factor, Duration.ofNanos(Math.max(0, now - statedAt))))
                : Optional.empty();
    }

    /** Returns the newest statement with its age; empty if there is none from the last second. */
    Optional<StatedSlowdown> current(long now) {
        return newest(now).filter(stated -> stated.age().toNanos() <= MAX_AGE_NANOSECONDS);
    }

    /**
     * Returns how long work is expected to take, as a multiple of its usual duration.
     *
     * @param lasting the multiple outside of slow phases, which holds without a recent statement
     */
    double expected(double lasting, long now) {
        return current(now)
                .map(stated -> lasting + weight(stated.age().toNanos()) * (stated.factor() - lasting))
                .orElse(lasting);
    }

    /** Returns the slowdown of work that was done in the given time. */
    double during(double lasting, long from, long now) {
        return present && statedAt >= from ? factor : expected(lasting, now);
    }

    private static double weight(long ageNanoseconds) {
        return Math.pow(0.5, ageNanoseconds / HALF_LIFE_NANOSECONDS);
    }
}
