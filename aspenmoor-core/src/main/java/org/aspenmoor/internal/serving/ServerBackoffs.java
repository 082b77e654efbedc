package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.Map;
import java.util.random.RandomGenerator;

/** The pauses that servers have asked this entry for. Confined to one thread; times are those of the monotonic clock. */
public final class ServerBackoffs {
    private final Map<String, ServerEstimate> estimates;
    private final RandomGenerator random;

    ServerBackoffs(Map<String, ServerEstimate> estimates, RandomGenerator random) {
        this.estimates = estimates;
        this.random = random;
    }

    /** Records that a server wants no requests from this entry for a while; returns whether a pause begins now. */
    public boolean requested(String server, Duration pause, long now) {
        ServerEstimate estimate = estimates.get(server);
        return estimate != null && estimate.backoffRequested(pause, random.nextDouble(), now);
    }

    /** Returns for how long a server wants no requests from this entry; zero if it has not asked for a pause. */
    public Duration remaining(String server, long now) {
        ServerEstimate estimate = estimates.get(server);
        return estimate == null ? Duration.ZERO : estimate.backoff().remaining(now);
    }
}
