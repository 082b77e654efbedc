package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.serving.quarantine.ServerIncarnation;

/**
 * The pauses that servers have asked this entry for. Confined to one thread; times are nanoseconds of the monotonic clock.
 *
 * <p>A server's registration may lapse and return within a pause, so pauses outlast the estimates of their servers.
 */
public final class ServerBackoffs {
    private final Map<String, ServerEstimate> estimates;
    private final RandomGenerator random;
    private final Map<ServerIncarnation, ServerBackoff> remembered = new HashMap<>();

    ServerBackoffs(Map<String, ServerEstimate> estimates, RandomGenerator random) {
        this.estimates = estimates;
        this.random = random;
    }

    /** Returns the pause of an incarnation that has been registered, with what it has asked for before. */
    ServerBackoff of(BackendServer server) {
        return remembered.getOrDefault(ServerIncarnation.of(server), new ServerBackoff());
    }

    /** Records that a server wants no requests from this entry for a while; returns whether a pause begins now. */
    public boolean requested(String server, Duration pause, long now) {
        ServerEstimate estimate = estimates.get(server);
        if (estimate == null) {
            return false;
        }
        remembered.values().removeIf(backoff -> !backoff.limiting(now));
        remembered.put(ServerIncarnation.of(estimate.server()), estimate.backoff());
        return estimate.backoffRequested(pause, random.nextDouble(), now);
    }

    /** Returns for how long a server wants no requests from this entry; zero if it has not asked for a pause. */
    public Duration remaining(String server, long now) {
        ServerEstimate estimate = estimates.get(server);
        return estimate == null ? Duration.ZERO : estimate.backoff().remaining(now);
    }
}
