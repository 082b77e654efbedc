package org.aspenmoor.internal.gateway.request;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.duty.DutyStatus;
import org.aspenmoor.internal.duty.OrderStanding;
import org.aspenmoor.internal.gateway.backend.ServerObserver;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.gateway.roles.FleetSnapshot;
import org.aspenmoor.internal.gateway.roles.OrderDuty;
import org.aspenmoor.internal.gateway.settings.RetrySettings;
import org.aspenmoor.internal.serving.AssignedWork;
import org.aspenmoor.internal.serving.AttemptEnd;
import org.aspenmoor.internal.serving.BackendDirectory;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.GenerationTraits;
import org.aspenmoor.internal.serving.PeerLoads;
import org.aspenmoor.internal.serving.PlacementPolicy;
import org.aspenmoor.internal.serving.PlacementSettings;
import org.aspenmoor.internal.serving.RoleChange;
import org.aspenmoor.internal.serving.ServerSummary;
import org.aspenmoor.internal.serving.ServiceLoad;
import org.aspenmoor.internal.serving.ServiceTraits;
import org.aspenmoor.internal.serving.ServingConfiguration;
import org.aspenmoor.internal.serving.entries.EntryListing;
import org.aspenmoor.internal.serving.entries.KnownEntries;
import org.aspenmoor.internal.serving.freshness.StoreFreshness;
import org.aspenmoor.internal.serving.limit.ServerLimits;
import org.aspenmoor.internal.serving.quarantine.ServerIncarnation;
import org.aspenmoor.internal.serving.share.FairShareAdmission;
import org.aspenmoor.internal.serving.stop.StopAdmission;
import org.aspenmoor.internal.time.TimeSource;

/** The state of one entry process: configuration, servers, peers and retry budgets. Confined to the event loop. */
public final class ServingState {
    /**
     * Traffic normally pauses for fractions of a second; after some seconds without any, a role change affects no
     * caller.
     */
    private static final Duration IDLE_AFTER = Duration.ofSeconds(4);

    private final TimeSource time;
    private final RandomGenerator random;
    private final DecisionLog log;
    private final StoreFreshness storeFreshness;
    private final PlacementPolicy placementPolicy;
    private final RegisteredServers registeredServers;
    private final PeerLoads peers;
    private final KnownEntries entries;
    private final ServerLimits limits;
    private final ServerStatements statements;
    private final CacheListing cacheListing;
    private final PeerSharing peerSharing;
    private final OrganisationShares shares;
    private final Map<String, RoleChange> orderedRoleChanges = new HashMap<>();
    private final RetryBudgets retryBudgets;
    private final StopAdmission stopAdmission = new StopAdmission();
    private Optional<ServingConfiguration> configuration = Optional.empty();
    private long lastOrderFencingNumber;
    private boolean fatalRequestsLoaded;
    private long lastRequestAt;

    /**
     * Creates the state of an entry that knows nothing yet.
     *
     * @param entry the name of this entry
     */
    public ServingState(
            String entry,
            TimeSource time,
            RandomGenerator random,
            RetrySettings retrySettings,
            DecisionLog log,
            PlacementSettings placementSettings,
            StoreFreshness storeFreshness) {
        this.time = time;
        this.random = random;
        this.retryBudgets = new RetryBudgets(time, retrySettings, this::entryCount);
        this.lastRequestAt = time.monotonicNanos() - IDLE_AFTER.toNanos();
        this.log = log;
        this.storeFreshness = storeFreshness;
        this.peers = new PeerLoads();
        this.entries = new KnownEntries(entry);
        this.limits = new ServerLimits(entries, random);
        this.placementPolicy = new PlacementPolicy(placementSettings, peers, limits, random);
        this.shares = new OrganisationShares(new FairShareAdmission(random), log);
        BackendDirectory directory = new BackendDirectory();
        this.registeredServers = new RegisteredServers(directory, placementPolicy, this::cacheTokens, log);
        this.cacheListing = new CacheListing(directory, placementPolicy, this::cacheTokens, time, log);
        this.statements = new ServerStatements(
                directory,
                limits,
                placementPolicy,
                time,
                server -> placementPolicy.serverChanged(server, cacheTokens(server)),
                log);
        this.peerSharing =
                new PeerSharing(peers, entries, placementPolicy, limits, statements, shares, storeFreshness, time);
    }

    /** Returns which requests may be sent while this process is stopping. */
    StopAdmission stopAdmission() {
        return stopAdmission;
    }

    /** Applies changed settings. */
    public void reload(RetrySettings newRetrySettings, PlacementSettings placementSettings) {
        retryBudgets.reload(newRetrySettings);
        placementPolicy.reload(placementSettings);
    }

    /** Applies a configuration and returns whether it was newer than the one in force; others are ignored. */
    public boolean applyConfiguration(ServingConfiguration newer) {
        if (configuration.isPresent() && newer.version() <= configuration.get().version()) {
            return false;
        }
        log.notable("configuration-in-force")
                .with("version", newer.version())
                .with("before", configuration.map(ServingConfiguration::version).orElse(-1L))
                .with("routes", newer.routeCount())
                .with("organisations", newer.keys().organisationCount())
                .with("keys", newer.keys().keyCount())
                .with("keysOfSeveralOrganisations", newer.keys().sharedKeyCount())
                .write();
        configuration = Optional.of(newer);
        registeredServers.servicesChanged();
        return true;
    }

    /** Applies the registration of a server. */
    public void serverRegistered(BackendServer registration) {
        registeredServers.registered(registration);
    }

    /** Records that a registration is missing; returns true if the server was removed, false if it is only suspect. */
    public boolean registrationMissing(String id, long now) {
        return registeredServers.registrationMissing(id, now);
    }

    /**
     * Records that the store was restored from an older copy, in which registrations of live servers may be missing.
     */
    public void storeRolledBack(long now) {
        registeredServers.storeRolledBack(now);
    }

    /** Records that the server list may miss changes from now on. */
    public void serverListInterrupted(long now) {
        storeFreshness.serverListInterrupted(now);
        registeredServers.listInterrupted(now);
    }

    /**
     * Records that the server list is complete.
     *
     * @param requestedAt when the listing was requested
     */
    public void serverListSynchronised(long requestedAt, long now) {
        storeFreshness.serversListed(requestedAt);
        registeredServers.listSynchronised(now);
    }

    /** Records that the fatal requests listed in the store have been loaded. */
    public void fatalRequestsLoaded() {
        fatalRequestsLoaded = true;
    }

    /** Removes servers whose time limit for registering again has passed; returns their ids. */
    public Iterable<String> expireServers(long now) {
        return registeredServers.expire(now);
    }

    /** Records that an engine has accepted an order of this entry to change its role. */
    public void roleChangeOrdered(RoleChange change) {
        orderedRoleChanges.put(change.server(), change);
        placementPolicy.roleChangeOrdered(change, time.monotonicNanos());
    }

    /**
     * Returns the role changes ordered by this entry that are still in progress, to be reported to the other entries.
     */
    public List<RoleChange> pendingRoleChanges() {
        long now = time.monotonicNanos();
        orderedRoleChanges.keySet().removeIf(server -> !placementPolicy.changingRole(server, now));
        return List.copyOf(orderedRoleChanges.values());
    }

    /**
     * Samples the prompt load of all model services.
     *
     * @param waiting returns whether requests of a service wait at this entry
     */
    public void samplePromptLoads(Predicate<String> waiting) {
        long now = time.monotonicNanos();
        modelServices().forEach(service -> placementPolicy.samplePromptLoad(service, waiting.test(service), now));
    }

    /** Returns what receives the statements of servers about themselves. */
    public ServerObserver serverObserver() {
        return statements;
    }

    /** Registers the metrics of the shares of organisations and of irregular answers. */
    public void registerMetrics(PrometheusRegistry registry) {
        ShareMetrics.register(registry, shares::summaries);
        IrregularAnswerMetrics.register(registry, statements::irregularAnswers);
    }

    /** Returns what this entry tells the other entries and learns from them. */
    public PeerSharing peerSharing() {
        return peerSharing;
    }

    /** Returns the shares of organisations. */
    public OrganisationShares shares() {
        return shares;
    }

    /** Removes entries whose last report is too old. */
    public void expirePeers(long now) {
        peers.expire(now);
        shares.update(now);
    }

    /** Applies the registrations of all entries. */
    public void entriesListed(EntryListing listing) {
        entries.listed(listing, time.monotonicNanos());
    }

    /**
     * Returns how many entries share the budgets: those that are registered, whether their reports are received or not.
     * Until it knows them all, an entry uses the assumed number of the settings if that is higher, because a process that
     * has just started may be one of many.
     */
    public int entryCount() {
        int known = entries.count();
        return known > 1 && entries.complete(time.monotonicNanos())
                ? known
                : Math.max(known, retryBudgets.assumedEntries());
    }

    /** Returns the maximum number of connections that this entry may have open to one server of a service. */
    public int maxConnectionsPerServer(String service) {
        return configuration
                .flatMap(known -> known.service(service))
                .map(traits -> Math.max(1, traits.maxConnections() / entryCount()))
                .orElse(Integer.MAX_VALUE);
    }

    /** Returns whether requests can be served. */
    public boolean ready() {
        return configuration.isPresent() && registeredServers.listKnown() && fatalRequestsLoaded;
    }

    /** Returns whether the watch of the server list works, so that calls to the store probably work too. */
    public boolean reachesStore() {
        return registeredServers.listCurrent();
    }

    /** Records that this entry has got the lease for orders to engines. */
    public void orderLeaseAcquired(long fencingNumber) {
        lastOrderFencingNumber = fencingNumber;
    }

    /** Returns what decides whether this entry gives orders to engines, given its name. */
    public OrderStanding orderStanding(String entryName) {
        return new OrderStanding(entryName, reachesStore(), lastOrderFencingNumber);
    }

    /** Returns what the other active entries state about duties, by entry name. */
    public SortedMap<String, DutyStatus> dutyStatuses() {
        return peers.dutyStatuses();
    }

    /** Returns the number of other entries whose reports are received. */
    public int peerCount() {
        return peers.activePeers();
    }

    /** Returns the names of the other entries whose reports are received. */
    public List<String> activeEntries() {
        return peers.activeEntries();
    }

    /** Returns the names of the other entries that are registered or heard; empty until the registrations are read. */
    public Optional<Set<String>> registeredEntries() {
        return entries.othersIfListed();
    }

    /** Returns the registered backend servers. */
    public Collection<BackendServer> servers() {
        return registeredServers.all();
    }

    /** Returns the estimated state and load of each backend server. */
    public List<ServerSummary> serverSummaries() {
        return placementPolicy.summaries(time.monotonicNanos());
    }

    /** Returns whether a server has announced that it is draining while its registration says otherwise. */
    public boolean drainsUnregistered(BackendServer server) {
        return registeredServers.drainsUnregistered(server);
    }

    /**
     * Returns the servers that have announced that they are draining while their registrations say otherwise, to be
     * reported to the other entries.
     */
    public List<ServerIncarnation> unregisteredDrains() {
        return registeredServers.unregisteredDrains();
    }

    /** Returns the configuration in force. */
    public Optional<ServingConfiguration> configuration() {
        return configuration;
    }

    PlacementPolicy placement() {
        return placementPolicy;
    }

    /** Returns what asks engines for the contents of their caches. */
    public CacheListing cacheListing() {
        return cacheListing;
    }

    /** Returns the state that role assignment needs, given the name of this entry. */
    public FleetSnapshot fleetSnapshot(String entryName) {
        long now = time.monotonicNanos();
        List<ServiceLoad> services = modelServices().stream()
                .map(service -> placementPolicy.serviceLoad(service, now))
                .toList();
        boolean idle = now - lastRequestAt > IDLE_AFTER.toNanos() && peersIdle();
        return new FleetSnapshot(services, idle, OrderDuty.of(orderStanding(entryName), peers));
    }

    /** Returns whether the other entries have no requests; an entry that hears none of them does not know. */
    private boolean peersIdle() {
        boolean alone = entries.othersIfListed().filter(Set::isEmpty).isPresent();
        return peers.idle() && (alone || peers.activePeers() > 0);
    }

    private Set<String> modelServices() {
        Set<String> services = new TreeSet<>();
        for (BackendServer server : registeredServers.all()) {
            if (cacheTokens(server) > 0) {
                services.add(server.service());
            }
        }
        return services;
    }

    /** Records a request for a service, which adds a fraction of a retry to the service's retry budget. */
    void requestArrived(String service) {
        lastRequestAt = time.monotonicNanos();
        placementPolicy.knownSpeeds().requestArrived(service, lastRequestAt);
        retryBudgets.recordRequest(service);
    }

    RetryBudgets retryBudgets() {
        return retryBudgets;
    }

    /** Updates the estimate of a server from the end of an attempt. */
    void attemptEnded(AssignedWork work, AttemptEnd end) {
        long now = time.monotonicNanos();
        switch (end) {
            case AttemptEnd.Withheld withheld -> {}
            case AttemptEnd.NeverSent neverSent -> placementPolicy.serverUnreachable(work, now);
            case AttemptEnd.Misdirected misdirected -> placementPolicy.serverUnreachable(work, now);
            case AttemptEnd.NotExecuted notExecuted -> placementPolicy.attemptRejected(work, now);
            case AttemptEnd.TurnedAway turnedAway -> placementPolicy.attemptRejected(work, now);
            case AttemptEnd.Lost lost -> placementPolicy.attemptFailed(work, now);
            case AttemptEnd.Failed failed -> placementPolicy.attemptFailed(work, now);
        }
    }

    /** Returns whether the list of servers is young enough to send a request by it now. */
    public boolean serverListReliable() {
        return storeFreshness.serverListReliable(time.monotonicNanos());
    }

    /** Returns whether this incarnation of the server is registered as ready. */
    boolean acceptsWork(BackendServer server) {
        return registeredServers.acceptsWork(server);
    }

    TimeSource time() {
        return time;
    }

    DecisionLog log() {
        return log;
    }

    RandomGenerator random() {
        return random;
    }

    /** Returns the delay plus a random part of up to half of it, so that refused callers do not all retry at once. */
    Duration withJitter(Duration delay) {
        return delay.plusNanos((long) (delay.toNanos() * random.nextDouble() / 2));
    }

    private int cacheTokens(BackendServer server) {
        return configuration
                .flatMap(known -> known.service(server.service()))
                .flatMap(ServiceTraits::generation)
                .map(GenerationTraits::cacheTokens)
                .orElse(0);
    }
}
