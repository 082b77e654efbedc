package org.aspenmoor.internal.serving.speed;

import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.serving.StatedSlowdown;

/** The newest slowdown that one server incarnation has stated; times are nanoseconds of the monotonic clock. */
final class NewestStatement {
    /** Hosts are slow for about half a second at a time, so an older statement says nothing of the present. */
    static final long MAX_AGE_NANOSECONDS = Duration.ofSeconds(1).toNanos();

    /** After this time a server that stated that it is slow is as likely to be back at its usual speed as not. */
    private static final double HALF_LIFE_NANOSECONDS = Duration.ofMillis(300).toNanos();

    private double factor = 1;
    private long statedAt;
    private boolean present;

    /** Applies a statement; an older one than the newest is ignored. */
    void stated(double newFactor, long at) {
        if (present && at < statedAt) {
            return;
        }
        factor = newFactor;
        statedAt = at;
        present = true;
    }

    /** Returns the statement with its age; empty if there is none from the last second. */
    Optional<StatedSlowdown> current(long now) {
        return present && now - statedAt <= MAX_AGE_NANOSECONDS
                ? Optional.of(new StatedSlowdown(factor, Duration.ofNanos(Math.max(0, now - statedAt))))
                : Optional.empty();
    }

    /** Returns how long work is expected to take, as a multiple of its usual duration; the usual one without a statement. */
    double expected(long now) {
        return current(now)
                .map(stated -> 1 + weight(stated.age().toNanos()) * (stated.factor() - 1))
                .orElse(1.0);
    }

    /** Returns the slowdown of work that was done in the given time. */
    double during(long from, long now) {
        return present && statedAt >= from ? factor : expected(now);
    }

    private static double weight(long ageNanoseconds) {
        return Math.pow(0.5, ageNanoseconds / HALF_LIFE_NANOSECONDS);
    }
}
