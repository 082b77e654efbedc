package org.aspenmoor.internal.serving.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.internal.serving.BackendServer;

/**
 * The limits that servers have stated for the requests of all entries together. Confined to one thread; times are
 * nanoseconds of the monotonic clock.
 */
public final class ServerLimits {
    private final Map<String, LimitedServer> servers = new HashMap<>();

    /** Adds or updates a server. A new incarnation has stated nothing yet. */
    public void serverChanged(BackendServer server) {
        LimitedServer known = servers.get(server.id());
        if (known == null || !known.server.sameIncarnation(server)) {
            servers.put(server.id(), new LimitedServer(server));
        }
    }

    /** Removes a server. */
    public void serverRemoved(String id) {
        servers.remove(id);
    }

    /** Records what the answer to a request that was sent at the given time states about the limit of its server. */
    public LimitUpdate stated(String server, LimitStatement statement, long requestSentAt, long now) {
        LimitedServer known = servers.get(server);
        return known == null ? new LimitUpdate.Unchanged() : known.limit.apply(statement, requestSentAt, now);
    }

    /** Applies a limit that another entry reports. */
    public LimitUpdate reported(StatedLimit reported, long now) {
        LimitedServer known = servers.get(reported.server());
        boolean sameIncarnation = known != null && known.server.startedAt() == reported.startedAt();
        return sameIncarnation ? known.limit.applyReported(reported, now) : new LimitUpdate.Unchanged();
    }

    /** Returns what to report to the other entries. */
    public List<StatedLimit> toReport(long now) {
        return servers.values().stream()
                .flatMap(known -> known.toReport(now).stream())
                .toList();
    }

    /** Returns the requests per second that a server takes from all entries together; empty if it states no limit. */
    public Optional<Double> requestsPerSecond(String server) {
        return Optional.ofNullable(servers.get(server)).flatMap(known -> known.limit.requestsPerSecond());
    }

    private static final class LimitedServer {
        private final BackendServer server;
        private final KnownLimit limit = new KnownLimit();

        LimitedServer(BackendServer server) {
            this.server = server;
        }

        Optional<StatedLimit> toReport(long now) {
            return limit.reportableAge(now)
                    .map(age -> new StatedLimit(server.id(), server.startedAt(), limit.requestsPerSecond(), age));
        }
    }
}
