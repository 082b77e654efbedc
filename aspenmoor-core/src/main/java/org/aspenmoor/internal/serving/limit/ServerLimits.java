package org.aspenmoor.internal.serving.limit;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.RecentRate;
import org.aspenmoor.internal.serving.entries.KnownEntries;

/**
 * The limits that servers have stated for the requests of all entries together, and this entry's shares of them.
 * Confined to one thread; times are nanoseconds of the monotonic clock.
 *
 * <p>If each entry followed a limit by itself, a server that can take five requests a second would get five from each
 * entry. So a limit is divided into slots. Each has one owner, which all entries derive from the names of those that are
 * registered; what they hear of each other only decides to whom an owner lends a slot.
 */
public final class ServerLimits {
    /** Over how long the demand for a service is averaged. */
    private static final Duration DEMAND_AVERAGING = Duration.ofSeconds(4);

    private final KnownEntries entries;
    private final RandomGenerator random;
    private final Map<String, LimitedServer> servers = new HashMap<>();
    private final Map<String, RecentRate> demands = new HashMap<>();

    /**
     * Creates an instance that knows no limit.
     *
     * @param entries the entries that share the limits
     */
    public ServerLimits(KnownEntries entries, RandomGenerator random) {
        this.entries = entries;
        this.random = random;
    }

    /** Adds or updates a server. A new incarnation has stated nothing yet. */
    public void serverChanged(BackendServer server) {
        LimitedServer known = servers.get(server.id());
        if (known == null || !known.server().sameIncarnation(server)) {
            servers.put(server.id(), new LimitedServer(server, entries, random.nextDouble()));
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
        known.ifPresent(server -> server.reported(entry, reported, now));
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
                                known.refresh(now).requestsPerSecond(),
                                entries.count(),
                                known.currentClaims(now).size(),
                                oldestClaim(known, now))));
    }

    private static Optional<Duration> oldestClaim(LimitedServer known, long now) {
        return known.currentClaims(now).stream()
                .map(claim -> Duration.ofNanos(now - claim.receivedAt()))
                .max(Duration::compareTo);
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
        double reported = known.currentClaims(now).stream()
                .mapToDouble(received -> received.claim().demand())
                .sum();
        long serversOfService = servers.values().stream()
                .filter(each -> each.server().service().equals(service))
                .count();
        return (demand(service, now) + reported) / serversOfService;
    }

    /** Returns whether this entry may send a request to a server now. */
    public boolean maySend(String server, long now) {
        return findLimited(server).map(known -> known.refresh(now).maySend()).orElse(true);
    }

    /** Records a request or another call that this entry sends to a server. */
    public void sent(String server, long now) {
        find(server).ifPresent(known -> demandRate(known.server().service()).add(1, now));
        findLimited(server).ifPresent(known -> known.refresh(now).take());
    }

    /** Records a request that is refused because of limits. */
    public void refused(String service, long now) {
        demandRate(service).add(1, now);
    }

    /** Returns the shortest time until this entry may send a request to one of the servers; empty if it may to none. */
    public Optional<Duration> untilNext(Collection<String> ids, long now) {
        return ids.stream()
                .flatMap(id -> findLimited(id).stream())
                .flatMap(known -> known.refresh(now).untilAvailable().stream())
                .min(Duration::compareTo);
    }

    /**
     * Applies an update and starts this entry's share if a limit begins. A limit that only changes goes on with what
     * is left of the share; a server that changes its limit often would get more than it takes.
     */
    private LimitUpdate update(LimitedServer known, Function<KnownLimit, LimitUpdate> statement, long now) {
        boolean limitedBefore = known.limit().requestsPerSecond().isPresent();
        LimitUpdate update = statement.apply(known.limit());
        if (update instanceof LimitUpdate.Changed) {
            known.refresh(now);
        }
        if (!limitedBefore && known.limit().requestsPerSecond().isPresent()) {
            known.startBucket(now);
        }
        return update;
    }

    private double demand(String service, long now) {
        return demandRate(service).perSecond(now);
    }

    private RecentRate demandRate(String service) {
        return demands.computeIfAbsent(service, unseen -> new RecentRate(DEMAND_AVERAGING));
    }

    private Optional<LimitedServer> findLimited(String server) {
        return find(server).filter(known -> known.limit().requestsPerSecond().isPresent());
    }

    private Optional<LimitedServer> find(String server) {
        return Optional.ofNullable(servers.get(server));
    }
}
