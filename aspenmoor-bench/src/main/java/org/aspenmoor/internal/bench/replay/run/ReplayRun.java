package org.aspenmoor.internal.bench.replay.run;

import java.time.Duration;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.bench.policy.engine.EventLoop;
import org.aspenmoor.internal.bench.replay.customer.Customer;
import org.aspenmoor.internal.bench.replay.customer.EngineOutage;
import org.aspenmoor.internal.bench.replay.customer.LoadDay;
import org.aspenmoor.internal.bench.replay.customer.RequestProfile;
import org.aspenmoor.internal.bench.replay.customer.StoreOutage;
import org.aspenmoor.internal.bench.replay.engine.SimulatedEngine;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.routing.EngineSpeed;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.BackendState;
import org.aspenmoor.internal.serving.PeerReport;
import org.aspenmoor.internal.serving.PlacementSettings;
import org.aspenmoor.internal.serving.RoleChange;
import org.aspenmoor.internal.serving.SoftwareVersion;
import org.aspenmoor.internal.serving.roles.PlannedRoleChange;
import org.aspenmoor.internal.serving.roles.RoleRatioPolicy;

/** Replays one day of one customer. */
public final class ReplayRun implements CallerListener {
    static final String SERVICE = "models";

    /** One-way delay between an entry and an engine, including the processing time of the entry. */
    static final double NETWORK_DELAY_SECONDS = 0.0015;

    private static final double NANOSECONDS = 1e9;

    /** Start of the day. It is after time zero because some classes use zero for "never". */
    private static final double START_SECONDS = 0.001;

    private static final int MAX_CALLER_ATTEMPTS = 2;
    private static final int REMAINING_WAIT_DIVISOR = 3;
    private static final double REPORT_INTERVAL_SECONDS = 0.1;
    private static final double REPORT_INTERVAL_SECONDS_PER_PEER = 0.01;
    private static final double REPORT_LAG_SECONDS = 0.002;

    /** Time from a change of an engine until the entries are notified of it. */
    private static final double MEMBERSHIP_LAG_SECONDS = 1.2;

    private static final double ROLE_CHECK_SECONDS = 2;
    private static final double DRAIN_SECONDS = 20;

    /**
     * Lower limit of the rate at which the next arrival of a kind is drawn, as a fraction of its mean rate. Thereby a
     * kind whose rate is zero is still checked from time to time.
     */
    private static final double MIN_RATE_FRACTION = 0.05;

    /**
     * Skew of the distribution of callers over the entries: the share of callers up to a relative position among the
     * entries is the position raised to this power, so later entries get more.
     */
    private static final double ENTRY_SKEW_EXPONENT = 1.6;

    private final Customer customer;
    private final LoadDay day;
    private final long seed;
    private final Set<Mechanism> disabled;
    private final EventLoop loop = new EventLoop();
    private final RandomGenerator random;
    private final CallerRequestGenerator generator;
    private final Map<String, SimulatedEngine> engines = new LinkedHashMap<>();
    private final List<ReplayEntry> entries = new ArrayList<>();
    private final IdentityHashMap<CallerRequest, CallerTracker> trackers = new IdentityHashMap<>();
    private final List<CallerTracker> trackersByArrival = new ArrayList<>();
    private final List<DayPoint> points = new ArrayList<>();
    private final RoleRatioPolicy roleBalance = new RoleRatioPolicy();
    private final SimulatedOrderLease orderLease = new SimulatedOrderLease();

    public ReplayRun(Customer customer, LoadDay day, long seed, Set<Mechanism> disabled) {
        this.customer = customer;
        this.day = day;
        this.seed = seed;
        this.disabled = disabled;
        SplittableRandom root = new SplittableRandom(seed);
        this.random = root.split();
        this.generator = new CallerRequestGenerator(root.split());
    }

    /** Replays the whole day. */
    public DayResult run() {
        createEngines();
        for (int index = 0; index < customer.entries(); index++) {
            entries.add(new ReplayEntry(
                    "entry-" + index,
                    loop,
                    engines,
                    settings(index),
                    disabled,
                    this,
                    new SplittableRandom(seed + index)));
        }
        updateEntries();
        customer.kinds().forEach(kind -> loop.after(START_SECONDS, () -> scheduleNextRequest(kind)));
        entries.forEach(entry -> loop.after(random.nextDouble() * REPORT_INTERVAL_SECONDS, () -> report(entry)));
        day.outages().forEach(outage -> loop.after(outage.startSeconds(), () -> startOutage(outage)));
        day.storeOutages().forEach(this::scheduleStoreOutage);
        loop.after(ROLE_CHECK_SECONDS, this::checkRoles);
        loop.after(1, this::recordPoint);
        loop.runUntil(day.lengthSeconds() + DRAIN_SECONDS);
        return new DayResultCalculator(trackersByArrival).calculate(day.name(), seed, points);
    }

    /** Returns the initial settings of an entry. The speeds are only starting values for learning. */
    private PlacementSettings settings(int index) {
        EngineSpeed speed = new EngineSpeed(112_000, 0.00341, 0.000097, 0.25, 2048, 0.008, 2_300_000);
        return new PlacementSettings(dataCentre(index), speed, 0.42, 0.000218);
    }

    private String dataCentre(int index) {
        return "data-centre-" + index % customer.dataCentres();
    }

    private void createEngines() {
        List<BackendServer> servers = new ArrayList<>();
        for (int index = 0; index < customer.engines().count(); index++) {
            servers.add(server(index, EngineRole.PREFILL));
        }
        // The engines have their roles before the first request arrives.
        for (PlannedRoleChange move : roleBalance.plannedChanges(servers, true)) {
            int index = servers.indexOf(move.server());
            servers.set(index, server(index, move.role()));
        }
        for (int index = 0; index < servers.size(); index++) {
            double slowdown = customer.engines().slowdown(index);
            BackendServer server = servers.get(index);
            engines.put(server.id(), new SimulatedEngine(loop, customer.engines(), slowdown, server));
        }
    }

    private BackendServer server(int index, EngineRole role) {
        return new BackendServer(
                "engine-" + index,
                0,
                SERVICE,
                new SoftwareVersion("one"),
                "127.0.0.1",
                index,
                dataCentre(index),
                customer.engines().slots(),
                BackendState.READY,
                role);
    }

    private void updateEntries() {
        for (SimulatedEngine engine : engines.values()) {
            for (ReplayEntry entry : entries) {
                if (engine.isUp()) {
                    entry.serverChanged(engine.server(), customer.engines().cacheTokens());
                } else {
                    entry.serverRemoved(engine.server().id());
                }
            }
        }
    }

    private void scheduleNextRequest(RequestProfile kind) {
        if (loop.nowSeconds() >= day.lengthSeconds()) {
            return;
        }
        double rate = day.requestsPerSecond(kind, loop.nowSeconds());
        double secondsToArrival =
                -Math.log(1 - random.nextDouble()) / Math.max(rate, kind.requestsPerSecond() * MIN_RATE_FRACTION);
        loop.after(secondsToArrival, () -> {
            if (loop.nowSeconds() < day.lengthSeconds() && rate > 0) {
                CallerRequest request = generator.generate(kind, loop.now());
                CallerTracker tracker = new CallerTracker(request);
                trackers.put(request, tracker);
                trackersByArrival.add(tracker);
                randomEntry().serve(request);
            }
            scheduleNextRequest(kind);
        });
    }

    private ReplayEntry randomEntry() {
        double position = Math.pow(random.nextDouble(), 1 / ENTRY_SKEW_EXPONENT);
        return entries.get((int) (position * entries.size()));
    }

    private void report(ReplayEntry entry) {
        PeerReport report = entry.nextReport();
        entries.stream()
                .filter(other -> other != entry)
                .forEach(other -> loop.after(REPORT_LAG_SECONDS, () -> other.receive(report)));
        double intervalSeconds =
                Math.max(REPORT_INTERVAL_SECONDS, REPORT_INTERVAL_SECONDS_PER_PEER * (entries.size() - 1));
        loop.after(intervalSeconds, () -> report(entry));
    }

    private void startOutage(EngineOutage outage) {
        List.copyOf(engines.values()).get(outage.engine()).fail(outage.durationSeconds());
        loop.after(MEMBERSHIP_LAG_SECONDS, this::updateEntries);
        loop.after(outage.durationSeconds() + MEMBERSHIP_LAG_SECONDS, this::updateEntries);
    }

    private void scheduleStoreOutage(StoreOutage outage) {
        ReplayEntry entry = entries.get(outage.entry());
        loop.after(outage.startSeconds(), () -> entry.setStoreReached(false));
        loop.after(outage.startSeconds() + outage.durationSeconds(), () -> entry.setStoreReached(true));
    }

    private void checkRoles() {
        List<BackendServer> upServers = engines.values().stream()
                .filter(SimulatedEngine::isUp)
                .map(SimulatedEngine::server)
                .toList();
        if (!disabled.contains(Mechanism.ROLE_MOVES)) {
            entries.stream()
                    .filter(ReplayEntry::responsibleForOrders)
                    .findFirst()
                    .ifPresent(entry -> orderRoleChanges(entry, upServers));
        }
        updateEntries();
        loop.after(ROLE_CHECK_SECONDS, this::checkRoles);
    }

    private void orderRoleChanges(ReplayEntry entry, List<BackendServer> servers) {
        List<PlannedRoleChange> moves = roleBalance.plannedChanges(servers, false);
        moves.forEach(move -> orderRoleChange(entry, move));
        if (moves.isEmpty() && !disabled.contains(Mechanism.LOAD_FOLLOWING)) {
            entry.nextRoleChange()
                    .filter(move -> orderRoleChange(entry, move))
                    .ifPresent(move -> entry.roleChangeAccepted());
        }
    }

    /** Sends an order if the entry can get the lease for it; returns whether it was sent. */
    private boolean orderRoleChange(ReplayEntry entry, PlannedRoleChange move) {
        Optional<Long> fencingNumber =
                entry.storeReached() ? orderLease.tryAcquire(entry.name(), loop.nowSeconds()) : Optional.empty();
        if (fencingNumber.isEmpty()) {
            return false;
        }
        entry.orderLeaseAcquired(fencingNumber.get());
        RoleChange change = new RoleChange(move.server().id(), move.role());
        engines.get(change.server()).changeRole(change.role());
        entries.forEach(other -> loop.after(REPORT_INTERVAL_SECONDS, () -> other.roleChangeOrdered(change)));
        return true;
    }

    private void recordPoint() {
        int queuedRequests =
                entries.stream().mapToInt(ReplayEntry::queuedRequests).sum();
        int second = points.size();
        points.add(new DayPoint(
                second, 0, 0, queuedRequests, enginesWithRole(EngineRole.PREFILL), enginesWithRole(EngineRole.DECODE)));
        if (second + 1 < day.lengthSeconds()) {
            loop.after(1, this::recordPoint);
        }
    }

    private int enginesWithRole(EngineRole role) {
        return (int) engines.values().stream()
                .filter(engine -> engine.isUp() && engine.server().role() == role)
                .count();
    }

    @Override
    public void eventReceived(CallerRequest request) {
        trackers.get(request).eventReceived(loop.now());
    }

    @Override
    public void completed(CallerRequest request) {
        trackers.get(request).ended(CallerResult.COMPLETE, loop.now());
    }

    @Override
    public void refused(CallerRequest request, Duration retryAfter) {
        CallerTracker tracker = trackers.get(request);
        long remainingNanos = request.deadlineAt() - loop.now();
        if (tracker.attempts() >= MAX_CALLER_ATTEMPTS || remainingNanos <= 0) {
            tracker.ended(CallerResult.REFUSED, loop.now());
            return;
        }
        tracker.retried();
        double retrySeconds = Math.min(retryAfter.toNanos(), remainingNanos / REMAINING_WAIT_DIVISOR) / NANOSECONDS;
        loop.after(retrySeconds, () -> randomEntry().serve(request));
    }

    @Override
    public void failed(CallerRequest request) {
        trackers.get(request).ended(CallerResult.FAILED, loop.now());
    }
}
