package org.aspenmoor.internal.serving.limit;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.RecentRate;

/**
 * The limits that servers have stated for the requests of all entries together, and this entry's shares of them.
 * Confined to one thread; times are nanoseconds of the monotonic clock.
 *
 * <p>If each entry followed a limit by itself, a server that can take five requests a second would get five from each
 * entry.
 */
public final class ServerLimits {
    /** Over how long the demand for a service is averaged. */
    private static final Duration DEMAND_AVERAGING = Duration.ofSeconds(4);

    private final IntSupplier entries;
    private final RandomGenerator random;
    private final Map<String, LimitedServer> servers = new HashMap<>();
    private final Map<String, RecentRate> demands = new HashMap<>();

    /**
     * Creates an instance that knows no limit.
     *
     * @param entries returns how many entries share the limits
     */
    public ServerLimits(IntSupplier entries, RandomGenerator random) {
        this.entries = entries;
        this.random = random;
    }

    /** Adds or updates a server. A new incarnation has stated nothing yet. */
    public void serverChanged(BackendServer server) {
        LimitedServer known = servers.get(server.id());
        if (known == null || !known.server().sameIncarnation(server)) {
            servers.put(server.id(), new LimitedServer(server, random.nextLong()));
        }
    }

    /** Removes a server. */
    public void serverRemoved(String id) {
        servers.remove(id);
    }

    /** Records what the answer to a request that was sent at the given time states about the limit of its server. */
    public LimitUpdate stated(String server, LimitStatement statement, long requestSentAt, long now) {
        return find(server)
                .map(known -> update(known, limit -> limit.apply(statement, requestSentAt, now), now))
                .orElseGet(LimitUpdate.Unchanged::new);
    }

    /** Applies what another entry reports of a server's limit. */
    public LimitUpdate reported(String entry, StatedLimit reported, long now) {
        Optional<LimitedServer> known =
                find(reported.server()).filter(server -> server.server().startedAt() == reported.startedAt());
        known.ifPresent(server -> server.claimReported(entry, reported, now));
        return known.map(server -> update(server, limit -> limit.applyReported(reported, now), now))
                .orElseGet(LimitUpdate.Unchanged::new);
    }

    /** Returns what to report to the other entries. */
    public List<StatedLimit> toReport(long now) {
        return servers.values().stream()
                .flatMap(known -> known.toReport(demand(known.server().service(), now), now).stream())
                .toList();
    }

    /** Returns the requests per second that a server takes from all entries together; empty if it states no limit. */
    public Optional<Double> requestsPerSecond(String server) {
        return find(server).flatMap(known -> known.limit().requestsPerSecond());
    }

    /** Returns the limit of a server and this entry's share of it; empty if it states no limit. */
    public Optional<LimitSummary> summary(String server, long now) {
        return find(server)
                .flatMap(known -> known.limit()
                        .requestsPerSecond()
                        .map(limit -> new LimitSummary(
                                limit,
                                share(known, limit, now),
                                entries.getAsInt(),
                                known.reportedClaims(now).size(),
                                known.oldestClaim(now))));
    }

    /** Returns whether a server states a limit below an even part of what all entries send to its service. */
    public boolean restricts(String server, long now) {
        return find(server)
                .flatMap(known -> known.limit()
                        .requestsPerSecond()
                        .map(limit -> limit < evenPart(known.server().service(), known, now)))
                .orElse(false);
    }

    private double evenPart(String service, LimitedServer known, long now) {
        double reported = known.reportedClaims(now).stream()
                .mapToDouble(ShareClaim::demand)
                .sum();
        long serversOfService = servers.values().stream()
                .filter(each -> each.server().service().equals(service))
                .count();
        return (demand(service, now) + reported) / serversOfService;
    }

    /** Returns whether this entry may send a request to a server now. */
    public boolean maySend(String server, long now) {
        return find(server)
                .flatMap(known -> known.limit().requestsPerSecond().map(limit -> {
                    known.bucket().refill(share(known, limit, now), now);
                    return known.bucket().maySend();
                }))
                .orElse(true);
    }

    /** Records a request or another call that this entry sends to a server. */
    public void sent(String server, long now) {
        find(server).ifPresent(known -> {
            demandRate(known.server().service()).add(1, now);
            known.limit().requestsPerSecond().ifPresent(limit -> {
                known.bucket().refill(share(known, limit, now), now);
                known.bucket().take();
            });
        });
    }

    /** Records a request that is refused because of limits. */
    public void refused(String service, long now) {
        demandRate(service).add(1, now);
    }

    /** Returns the shortest time until this entry may send a request to one of the servers; empty if it may to none. */
    public Optional<Duration> untilNext(Collection<String> ids, long now) {
        return ids.stream()
                .flatMap(id -> find(id).stream())
                .flatMap(known -> known.limit().requestsPerSecond().stream()
                        .flatMap(limit -> known.bucket().untilAvailable(share(known, limit, now)).stream()))
                .min(Duration::compareTo);
    }

    /**
     * Applies an update and starts this entry's share if a limit begins. A limit that only changes goes on with what
     * is left of the share; a server that changes its limit often would get more than it takes.
     */
    private LimitUpdate update(LimitedServer known, Function<KnownLimit, LimitUpdate> statement, long now) {
        boolean limitedBefore = known.limit().requestsPerSecond().isPresent();
        LimitUpdate update = statement.apply(known.limit());
        if (!limitedBefore && known.limit().requestsPerSecond().isPresent()) {
            known.startBucket(random.nextDouble(), now);
        }
        return update;
    }

    private double share(LimitedServer known, double limit, long now) {
        ShareClaim own = known.claim(demand(known.server().service(), now));
        return LimitShare.requestsPerSecond(limit, own, known.reportedClaims(now), entries.getAsInt());
    }

    private double demand(String service, long now) {
        return demandRate(service).perSecond(now);
    }

    private RecentRate demandRate(String service) {
        return demands.computeIfAbsent(service, unseen -> new RecentRate(DEMAND_AVERAGING));
    }

    private Optional<LimitedServer> find(String server) {
        return Optional.ofNullable(servers.get(server));
    }
}
