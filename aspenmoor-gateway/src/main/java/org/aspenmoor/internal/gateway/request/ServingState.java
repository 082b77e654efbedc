package org.aspenmoor.internal.gateway.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.gateway.roles.FleetSnapshot;
import org.aspenmoor.internal.gateway.settings.RepeatSettings;
import org.aspenmoor.internal.serving.AttemptEnd;
import org.aspenmoor.internal.serving.BackendDirectory;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.BackendState;
import org.aspenmoor.internal.serving.EventLength;
import org.aspenmoor.internal.serving.GenerationTraits;
import org.aspenmoor.internal.serving.LearntSpeed;
import org.aspenmoor.internal.serving.PeerLoads;
import org.aspenmoor.internal.serving.PeerReport;
import org.aspenmoor.internal.serving.PeerShare;
import org.aspenmoor.internal.serving.PlacedPrompt;
import org.aspenmoor.internal.serving.PlacedWork;
import org.aspenmoor.internal.serving.PlacementSettings;
import org.aspenmoor.internal.serving.Placer;
import org.aspenmoor.internal.serving.PromptPart;
import org.aspenmoor.internal.serving.RepeatAllowance;
import org.aspenmoor.internal.serving.RoleChange;
import org.aspenmoor.internal.serving.ServerSummary;
import org.aspenmoor.internal.serving.ServiceLoad;
import org.aspenmoor.internal.serving.ServiceTraits;
import org.aspenmoor.internal.serving.ServingConfiguration;
import org.aspenmoor.internal.time.TimeSource;

/** What one process knows while it serves: configuration, servers, budgets. Confined to the event loop. */
public final class ServingState {
    /** Traffic pauses for fractions of a second; after some seconds without any, a change of role disturbs nobody. */
    private static final Duration IDLE_AFTER = Duration.ofSeconds(4);

    private final TimeSource time;
    private final RandomGenerator random;
    private final DecisionLog log;
    private final BackendDirectory directory = new BackendDirectory();
    private final Placer placer;
    private final PeerLoads peers;
    private final Set<String> listed = new HashSet<>();
    private final Map<String, RoleChange> ordered = new HashMap<>();
    private final Map<String, RepeatAllowance> allowances = new HashMap<>();
    private Optional<ServingConfiguration> configuration = Optional.empty();
    private RepeatSettings repeats;
    private boolean serversKnown;
    private boolean fatalRequestsKnown;
    private long lastRequestAt;

    public ServingState(
            TimeSource time,
            RandomGenerator random,
            RepeatSettings repeats,
            DecisionLog log,
            PlacementSettings placement) {
        this.time = time;
        this.random = random;
        this.repeats = repeats;
        this.lastRequestAt = time.monotonicNanos() - IDLE_AFTER.toNanos();
        this.log = log;
        this.peers = new PeerLoads();
        this.placer = new Placer(placement, peers, random);
    }

    /** Takes changed settings up. */
    public void reload(RepeatSettings newRepeats, PlacementSettings placement) {
        if (!newRepeats.equals(repeats)) {
            repeats = newRepeats;
            allowances.clear();
        }
        placer.reload(placement);
    }

    /** Takes a configuration in; an older one than that in force is dropped, so that nothing goes back. */
    public boolean configure(ServingConfiguration newer) {
        if (configuration.isPresent() && newer.version() <= configuration.get().version()) {
            return false;
        }
        log.notable("configuration-in-force")
                .with("version", newer.version())
                .with("before", configuration.map(ServingConfiguration::version).orElse(-1L))
                .with("routes", newer.routeCount())
                .write();
        configuration = Optional.of(newer);
        directory.servers().forEach(server -> placer.changed(server, cacheTokens(server)));
        return true;
    }

    /** Takes a server's registration in. */
    public void serverChanged(BackendServer told) {
        Optional<BackendServer> before = directory.find(told.id());
        BackendServer server = directory.changed(told);
        if (server.state() != told.state()) {
            log.notable("server-not-believed")
                    .with("server", told.id())
                    .with("told", told.state().name())
                    .with("reason", "this start has said that it leaves")
                    .write();
        }
        placer.changed(server, cacheTokens(server));
        if (before.isEmpty() || !before.get().equals(server)) {
            log.notable("server-known")
                    .with("server", server.id())
                    .with("service", server.service())
                    .with("address", server.host() + ":" + server.port())
                    .with("dataCentre", server.dataCentre())
                    .with("state", server.state().name())
                    .with("role", server.role().name())
                    .with("startedAt", server.startedAt())
                    .write();
        }
    }

    /** Notes that a registration is missing; returns whether the server is gone. */
    public boolean serverMissing(String id, long now) {
        boolean gone = directory.removed(id, now);
        log.notable(gone ? "server-gone" : "server-doubtful").with("server", id).write();
        if (gone) {
            placer.removed(id);
        }
        return gone;
    }

    /** Notes that the store has come back from an older copy, in which servers may be missing that live. */
    public void storeCameBackOlder(long now) {
        directory.cameBackOlder(now);
    }

    /** Notes that the list of servers may miss changes from now on. */
    public void serversInterrupted(long now) {
        directory.interrupted(now);
    }

    /** Notes that the list of servers is complete. */
    public void serversSynchronised(long now) {
        directory.synchronised(now);
        serversKnown = true;
    }

    /** Notes that the requests which end servers, as far as the store holds them, have been taken in. */
    public void fatalRequestsKnown() {
        fatalRequestsKnown = true;
    }

    /** Drops servers whose time to return is over; returns their identities. */
    public Iterable<String> expireServers(long now) {
        Iterable<String> gone = directory.expire(now);
        for (String id : gone) {
            placer.removed(id);
            log.notable("server-gone")
                    .with("server", id)
                    .with("reason", "not back after an outage of the store")
                    .write();
        }
        return gone;
    }

    /** Takes another entry's report in. */
    public void peerHeard(PeerReport report, long now) {
        peers.heard(report, now);
        report.prompts().forEach(prompt -> placer.promptPlacedByPeer(prompt, now));
        report.speeds().forEach(placer::speedHeard);
        report.lengths().forEach(placer::eventLengthHeard);
        report.changes().forEach(change -> placer.roleChanging(change, now));
    }

    /** Notes that an engine has accepted this entry's order to change its role. */
    public void roleOrdered(RoleChange change) {
        ordered.put(change.server(), change);
        placer.roleChanging(change, time.monotonicNanos());
    }

    /** Returns the orders of this entry that engines are still carrying out, for the other entries. */
    public List<RoleChange> roleChanges() {
        long now = time.monotonicNanos();
        ordered.keySet().removeIf(server -> !placer.changing(server, now));
        return List.copyOf(ordered.values());
    }

    /** Samples how much prompts press on the engines, given whether requests of a service wait at this entry. */
    public void samplePressure(Predicate<String> waiting) {
        long now = time.monotonicNanos();
        modelServices().forEach(service -> placer.samplePressure(service, waiting.test(service), now));
    }

    /** Returns how fast this entry has found the engines, for the other entries. */
    public List<LearntSpeed> learntSpeeds() {
        return placer.learntSpeeds();
    }

    /** Returns how long this entry has found the events of answers, for the other entries. */
    public List<EventLength> eventLengths() {
        return placer.eventLengths();
    }

    /** Forgets entries that have been silent for too long. */
    public void expirePeers(long now) {
        peers.expire(now);
    }

    /** Returns this entry's own part of the load. */
    public Map<String, PeerShare> ownShares() {
        return placer.ownShares(time.monotonicNanos());
    }

    /** Returns the prompts that this entry has placed since it was last asked. */
    public List<PlacedPrompt> takeUntoldPrompts() {
        return placer.takeUntoldPrompts();
    }

    /**
     * Returns how many entries share the budgets: those that are heard and this one. Until any is heard the settings'
     * number stands, since a process that has just started may be one of many.
     */
    public int entries() {
        int heard = peers.heardEntries();
        return heard == 0 ? repeats.assumedEntries() : heard + 1;
    }

    /** Returns how many connections this entry may have open to one server of a service. */
    public int connectionShare(String service) {
        return configuration
                .flatMap(known -> known.service(service))
                .map(traits -> Math.max(1, traits.mostConnections() / entries()))
                .orElse(Integer.MAX_VALUE);
    }

    /** Returns whether requests can be served. */
    public boolean ready() {
        return configuration.isPresent() && serversKnown && fatalRequestsKnown;
    }

    /** Returns how many other entries are heard. */
    public int heardEntries() {
        return peers.heardEntries();
    }

    /** Returns what is believed of each backend server. */
    public List<ServerSummary> servers() {
        return placer.summaries(time.monotonicNanos());
    }

    /** Returns the configuration in force. */
    public Optional<ServingConfiguration> configuration() {
        return configuration;
    }

    Placer placer() {
        return placer;
    }

    /**
     * Returns the engines that were not returned before. A process that has just started does not know what engines keep;
     * after a restart of all entries, every shared part would be computed anew while the callers wait.
     */
    public List<BackendServer> takeUnlistedEngines() {
        List<BackendServer> unlisted = new ArrayList<>();
        for (BackendServer server : directory.servers()) {
            if (cacheTokens(server) > 0 && listed.add(server.id() + "@" + server.startedAt())) {
                unlisted.add(server);
            }
        }
        return unlisted;
    }

    /** Notes which prompt parts an engine says that it keeps. */
    public void cacheListed(BackendServer engine, List<PromptPart> parts, long now) {
        placer.cacheListed(engine.id(), parts, now);
        log.notable("cache-listed")
                .with("server", engine.id())
                .with("parts", parts.size())
                .write();
    }

    /** Returns what the role duty needs to know, given the name of this entry. */
    public FleetSnapshot snapshot(String entry) {
        long now = time.monotonicNanos();
        List<ServiceLoad> services = modelServices().stream()
                .map(service -> placer.serviceLoad(service, now))
                .toList();
        boolean idle = now - lastRequestAt > IDLE_AFTER.toNanos() && peers.idle();
        return new FleetSnapshot(services, idle, peers.noneBefore(entry));
    }

    private Set<String> modelServices() {
        Set<String> services = new TreeSet<>();
        for (BackendServer server : directory.servers()) {
            if (cacheTokens(server) > 0) {
                services.add(server.service());
            }
        }
        return services;
    }

    /** Notes a request for a service, which earns a part of a repeat. */
    void requested(String service) {
        lastRequestAt = time.monotonicNanos();
        allowance(service).requested();
    }

    /** Takes a repeat out of the service's budget. */
    boolean takeRepeat(String service) {
        return allowance(service).take(entries());
    }

    /** Notes what the end of an attempt says of its server. */
    void attemptEnded(PlacedWork work, AttemptEnd end) {
        long now = time.monotonicNanos();
        switch (end) {
            case AttemptEnd.NeverSent neverSent -> placer.unreachable(work, now);
            case AttemptEnd.Misdirected misdirected -> placer.unreachable(work, now);
            case AttemptEnd.NotExecuted notExecuted -> placer.rejected(work, now);
            case AttemptEnd.Lost lost -> placer.failed(work, now);
            case AttemptEnd.Failed failed -> placer.failed(work, now);
        }
    }

    /** Returns whether a start of a server is registered and has not said that it leaves. */
    boolean takesWork(BackendServer server) {
        return directory
                .find(server.id())
                .filter(known -> known.sameStart(server) && known.state() == BackendState.READY)
                .isPresent();
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

    /** Returns a pause with up to half of it added at random, so that refused callers do not return in one wave. */
    Duration spread(Duration pause) {
        return pause.plusNanos((long) (pause.toNanos() * random.nextDouble() / 2));
    }

    private RepeatAllowance allowance(String service) {
        return allowances.computeIfAbsent(
                service, name -> new RepeatAllowance(time, repeats.ratio(), repeats.slack(), repeats.window()));
    }

    private int cacheTokens(BackendServer server) {
        return configuration
                .flatMap(known -> known.service(server.service()))
                .flatMap(ServiceTraits::generation)
                .map(GenerationTraits::cacheTokens)
                .orElse(0);
    }
}
