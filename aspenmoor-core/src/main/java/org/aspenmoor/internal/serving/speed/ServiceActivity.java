package org.aspenmoor.internal.serving.speed;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Which services have had requests in the last seconds, at any entry. Times are nanoseconds of the monotonic clock. */
final class ServiceActivity {
    /** Traffic normally pauses for fractions of a second; a service without requests for longer is idle. */
    private static final long ACTIVE_NANOSECONDS = Duration.ofSeconds(4).toNanos();

    private final Map<String, Period> periods = new HashMap<>();

    void requestSeen(String service, long now) {
        Period period = periods.get(service);
        boolean continues = period != null && period.active(now);
        periods.put(service, new Period(continues ? period.since() : now, now));
    }

    /** Returns since when the service has had requests; empty if it is idle. */
    Optional<Long> activeSince(String service, long now) {
        return Optional.ofNullable(periods.get(service))
                .filter(period -> period.active(now))
                .map(Period::since);
    }

    private record Period(long since, long lastRequestAt) {
        boolean active(long now) {
            return now - lastRequestAt <= ACTIVE_NANOSECONDS;
        }
    }
}
