package org.aspenmoor.internal.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.duty.DutyLease;
import org.aspenmoor.internal.gateway.backend.BackendConnections;
import org.aspenmoor.internal.gateway.caller.AnswerBuffers;
import org.aspenmoor.internal.gateway.caller.CallerServer;
import org.aspenmoor.internal.gateway.caller.LocalAnswers;
import org.aspenmoor.internal.gateway.eventloop.EventLoopMonitor;
import org.aspenmoor.internal.gateway.eventloop.LongRoundTask;
import org.aspenmoor.internal.gateway.log.CallerDropLog;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.gateway.membership.ConfigurationListener;
import org.aspenmoor.internal.gateway.membership.FreshnessMonitor;
import org.aspenmoor.internal.gateway.membership.RegistrationDecoder;
import org.aspenmoor.internal.gateway.membership.ServerRegistrationListener;
import org.aspenmoor.internal.gateway.peers.OriginStatements;
import org.aspenmoor.internal.gateway.peers.PeerDirectory;
import org.aspenmoor.internal.gateway.peers.PeerDirectoryUpdates;
import org.aspenmoor.internal.gateway.peers.PeerExchange;
import org.aspenmoor.internal.gateway.peers.PeerListener;
import org.aspenmoor.internal.gateway.peers.PeerOriginNetwork;
import org.aspenmoor.internal.gateway.peers.StreamRecordRequests;
import org.aspenmoor.internal.gateway.peers.StreamRecordStore;
import org.aspenmoor.internal.gateway.protocol.BackendProtocol;
import org.aspenmoor.internal.gateway.protocol.CallerProtocol;
import org.aspenmoor.internal.gateway.protocol.DutyProtocol;
import org.aspenmoor.internal.gateway.quarantine.FatalRequestSynchroniser;
import org.aspenmoor.internal.gateway.quarantine.FatalRequestTracker;
import org.aspenmoor.internal.gateway.request.GatewayMetrics;
import org.aspenmoor.internal.gateway.request.LoadSharingMetrics;
import org.aspenmoor.internal.gateway.request.RequestDispatcher;
import org.aspenmoor.internal.gateway.request.ServerListWait;
import org.aspenmoor.internal.gateway.request.ServingContext;
import org.aspenmoor.internal.gateway.request.ServingState;
import org.aspenmoor.internal.gateway.request.SpeedProbing;
import org.aspenmoor.internal.gateway.request.WaitQueues;
import org.aspenmoor.internal.gateway.roles.FleetSnapshot;
import org.aspenmoor.internal.gateway.roles.RoleCoordinator;
import org.aspenmoor.internal.gateway.settings.DutySettings;
import org.aspenmoor.internal.gateway.settings.GatewaySettings;
import org.aspenmoor.internal.gateway.usage.DutyClient;
import org.aspenmoor.internal.gateway.usage.UsageLog;
import org.aspenmoor.internal.gateway.usage.UsageTracker;
import org.aspenmoor.internal.gateway.usage.UsageWorker;
import org.aspenmoor.internal.serving.LoadChanges;
import org.aspenmoor.internal.serving.PeerReport;
import org.aspenmoor.internal.serving.freshness.ObservedCollection;
import org.aspenmoor.internal.serving.freshness.StoreFreshness;
import org.aspenmoor.internal.serving.origin.KnownStream;
import org.aspenmoor.internal.serving.origin.OriginQuestion;
import org.aspenmoor.internal.serving.origin.OriginReply;
import org.aspenmoor.internal.serving.origin.StreamOriginTracker;
import org.aspenmoor.internal.serving.quarantine.RankedTrialTurns;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.client.CollectionListener;
import org.aspenmoor.internal.store.client.StoreSettings;
import org.aspenmoor.internal.store.client.WatchedCollection;
import org.aspenmoor.internal.time.TimeSource;
import org.aspenmoor.internal.usage.EntryUsage;
import org.aspenmoor.internal.usage.UsageDuty;
import org.aspenmoor.internal.usage.UsageWindows;

/** An entry process: one event loop that serves all requests, and a thread for each collection watched in the store. */
public final class Gateway {
    /** Interval of the periodic check of timeouts, unconfirmed servers and a graceful stop. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

    /** Interval at which counts of usage are sent; an entry that is killed loses what it counted since the last time. */
    private static final long USAGE_INTERVAL_MILLISECONDS = 500;

    private final GatewaySettings settings;
    private final TimeSource time;
    private final RandomGenerator random;
    private final DecisionLog log;
    private final BackendProtocol backendProtocol;
    private final DutyProtocol dutyProtocol;
    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop eventLoop = group.next();
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final ServingState state;
    private final FreshnessMonitor storeFreshness;
    private final BackendConnections connections;
    private final WaitQueues waitQueues;
    private final FatalRequestTracker fatalRequests;
    private final Optional<UsageTracker> usage;
    private final RequestDispatcher dispatcher;
    private final AnswerBuffers buffers;
    private final CallerServer callers;
    private final HealthProbes healthProbes;
    private final CacheListQueries cacheListQueries;
    private final GracefulStop gracefulStop;
    private final EventLoopMonitor eventLoopMonitor;
    private final AdministrationPages administrationPages;
    private final PeerExchange peers;
    private final PeerReporter reporter;
    private final OriginStatements originStatements = new OriginStatements();
    private final StreamRecordRequests streamRecords = new StreamRecordRequests();
    private final StreamOriginTracker origins;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final List<WatchedCollection> watchedCollections = new ArrayList<>();
    private InetSocketAddress callersAddress;
    private InetSocketAddress readinessAddress;
    private InetSocketAddress administrationAddress;

    public Gateway(
            GatewaySettings settings,
            CallerProtocol callerProtocol,
            BackendProtocol backendProtocol,
            DutyProtocol dutyProtocol,
            TimeSource time,
            RandomGenerator random,
            StoreFreshness storeFreshness,
            DecisionLog log) {
        this.settings = settings;
        this.time = time;
        this.random = random;
        this.log = log;
        this.backendProtocol = backendProtocol;
        this.dutyProtocol = dutyProtocol;
        this.state = new ServingState(
                settings.process(), time, random, settings.retries(), log, settings.placement(), storeFreshness);
        this.storeFreshness = new FreshnessMonitor(storeFreshness, eventLoop, this::sendReport, log, registry, time);
        LongRoundTask longRoundTask =
                new LongRoundTask(eventLoop, time, LongRoundTask.MAX_DISCONNECT_DELAY, this::detectDisconnectedCallers);
        CallerDropLog dropLog = new CallerDropLog(log, registry);
        this.buffers = new AnswerBuffers(settings.maxBufferedBytes(), time, eventLoop, dropLog);
        dropLog.registerBytes(registry, buffers::bytes);
        this.connections = new BackendConnections(
                backendProtocol,
                eventLoop,
                time,
                state::maxConnectionsPerServer,
                state.serverObserver(),
                longRoundTask,
                buffers.partialMessages());
        this.healthProbes = new HealthProbes(
                new SpeedProbing(settings.process(), state), connections, backendProtocol, eventLoop, log, registry);
        this.cacheListQueries = new CacheListQueries(state.cacheListing(), connections, backendProtocol, log);
        this.waitQueues = new WaitQueues(time, eventLoop);
        this.fatalRequests =
                new FatalRequestTracker(time, log, new RankedTrialTurns(settings.process(), state::registeredEntries));
        this.usage = settings.duties().filter(DutySettings::usage).map(this::createUsageTracker);
        this.peers = new PeerExchange(settings.process(), time, eventLoop, log, new PeerMessages());
        this.origins = createOriginTracker();
        ServingContext context = new ServingContext(
                state,
                connections,
                backendProtocol,
                eventLoop,
                new GatewayMetrics(
                        registry, connections::openedTotal, state::serverSummaries, fatalRequests::quarantinedCount),
                waitQueues,
                new ServerListWait(state, eventLoop, time, log),
                usage,
                origins,
                fatalRequests,
                buffers);
        state.registerMetrics(registry);
        this.dispatcher = new RequestDispatcher(context, callerProtocol, settings.maxBodyBytes());
        this.callers = new CallerServer(dispatcher, time, longRoundTask, buffers);
        this.gracefulStop = new GracefulStop(callers, dispatcher, log, settings.gracePeriod(), this::finishStop);
        this.reporter = new PeerReporter(
                peers, state, fatalRequests, origins, usage, healthProbes, gracefulStop::begun, eventLoop, time);
        LoadSharingMetrics.register(
                registry, peers::announcementsSent, peers::announcementsReceived, state.peerSharing()::startDelays);
        this.eventLoopMonitor = new EventLoopMonitor(CHECK_INTERVAL, time.monotonicNanos(), log, registry);
        StateDump stateDump = new StateDump(
                settings.process(), state, callers, connections, gracefulStop, fatalRequests, usage, origins);
        this.administrationPages = new AdministrationPages(registry, stateDump);
    }

    /** Opens the ports and starts watching the store. */
    public void start(ObjectStore store, StoreSettings storeSettings, RegistrationDecoder decoder)
            throws AspenmoorException {
        // After all entries have stopped at once, callers return before an entry has read its configuration. A refused
        // connection uses up a caller's retry; an accepted request waits until this entry is ready.
        callersAddress = callers.start(group, settings.callers());
        watch(
                store,
                storeSettings,
                ObjectKind.SERVING_CONFIGURATION,
                new ConfigurationListener(
                        decoder, state, eventLoop, log, storeFreshness.observer(ObservedCollection.CONFIGURATION)));
        watch(
                store,
                storeSettings,
                ObjectKind.BACKEND_SERVER,
                new ServerRegistrationListener(
                        decoder,
                        state,
                        origins,
                        connections,
                        eventLoop,
                        time,
                        log,
                        store::generation,
                        storeFreshness.observer(ObservedCollection.SERVERS)));
        FatalRequestSynchroniser fatalRequestSynchroniser = new FatalRequestSynchroniser(
                store, fatalRequests, state::fatalRequestsLoaded, eventLoop, time, random, log);
        watch(store, storeSettings, ObjectKind.FATAL_REQUEST, fatalRequestSynchroniser);
        fatalRequestSynchroniser.start();
        FreshnessMonitor.registerGeneration(registry, store::generation);
        readinessAddress = new OperatorHttpServer(Map.of(settings.readinessPath(), this::readinessAnswer))
                .start(group, settings.readiness());
        administrationAddress = new OperatorHttpServer(
                        Map.of("/metrics", administrationPages::metrics, "/state", administrationPages::state))
                .start(group, settings.administration());
        peers.open(settings.peers());
        startPeerWorkers(store);
        eventLoop.execute(reporter::start);
        usage.ifPresent(tracker -> startUsageDuty(store, tracker));
        startRoleManagement(store);
        eventLoop.scheduleWithFixedDelay(
                this::runPeriodicChecks, CHECK_INTERVAL.toMillis(), CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Returns the address on which callers are served. */
    public InetSocketAddress callersAddress() {
        return callersAddress;
    }

    /** Returns the address on which readiness is served. */
    public InetSocketAddress readinessAddress() {
        return readinessAddress;
    }

    /** Returns the address on which metrics and the state dump are served. */
    public InetSocketAddress administrationAddress() {
        return administrationAddress;
    }

    /** Applies changed settings; changed addresses are ignored. */
    public void reload(GatewaySettings newSettings) {
        eventLoop.execute(() -> {
            state.reload(newSettings.retries(), newSettings.placement());
            gracefulStop.setGracePeriod(newSettings.gracePeriod());
        });
    }

    /** Begins a graceful stop. */
    public void stop() {
        eventLoop.execute(() -> {
            gracefulStop.begin(time.monotonicNanos());
            origins.handOver();
        });
    }

    /** Waits until a graceful stop has finished. */
    public void awaitStopped() throws InterruptedException {
        stopped.await();
    }

    /** Stops immediately and aborts requests that are being served. */
    public void close() {
        watchedCollections.forEach(WatchedCollection::close);
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private void watch(ObjectStore store, StoreSettings storeSettings, ObjectKind kind, CollectionListener listener) {
        WatchedCollection collection = new WatchedCollection(store, kind, listener, random, storeSettings);
        watchedCollections.add(collection);
        collection.start();
    }

    private StreamOriginTracker createOriginTracker() {
        PeerOriginNetwork network = new PeerOriginNetwork(
                settings.process(),
                peers,
                originStatements,
                streamRecords,
                state::activeEntries,
                this::sendReport,
                eventLoop);
        return new StreamOriginTracker(network, time, settings.storeBounds().serversOrZero());
    }

    /** Starts what registers this entry, finds the others, and keeps what all have to know of streams in the store. */
    private void startPeerWorkers(ObjectStore store) {
        new PeerDirectory(
                        store,
                        settings.process(),
                        peers.address(),
                        originStatements,
                        time,
                        random,
                        new PeerDirectoryUpdates(peers, state, origins, eventLoop),
                        log)
                .start();
        new StreamRecordStore(
                        store,
                        settings.process(),
                        streamRecords,
                        time,
                        records -> eventLoop.execute(() -> origins.recordsLoaded(records)),
                        log)
                .start();
    }

    private void startRoleManagement(ObjectStore store) {
        ObjectKey key = new ObjectKey(ObjectKind.ORDER_RIGHT, ObjectKey.PLATFORM_NAMESPACE, "engines");
        DutyLease orderLease = new DutyLease(store, key, settings.process(), settings.pauseBetweenHolders(), time);
        Supplier<FleetSnapshot> fleetSnapshot =
                () -> CompletableFuture.supplyAsync(() -> state.fleetSnapshot(settings.process()), eventLoop)
                        .join();
        new RoleCoordinator(
                        settings.process(),
                        fleetSnapshot,
                        new RoleOrderUpdates(state, eventLoop),
                        orderLease,
                        connections,
                        backendProtocol,
                        eventLoop,
                        time,
                        log)
                .start();
    }

    private UsageTracker createUsageTracker(DutySettings duties) {
        return new UsageTracker(
                settings.process(),
                new UsageWindows(duties.usageWindow()),
                this::mayPerformDuties,
                state::dutyStatuses,
                time);
    }

    private boolean mayPerformDuties() {
        return state.ready() && state.reachesStore() && !gracefulStop.begun();
    }

    private void startUsageDuty(ObjectStore store, UsageTracker tracker) {
        DutySettings duties = settings.duties().orElseThrow();
        ObjectKey key = new ObjectKey(ObjectKind.ORDER_RIGHT, ObjectKey.PLATFORM_NAMESPACE, "usage");
        DutyLease lease = new DutyLease(store, key, settings.process(), settings.pauseBetweenHolders(), time);
        UsageDuty duty = new UsageDuty(
                lease,
                store,
                new DutyClient(duties.receiver(), dutyProtocol, settings.process(), eventLoop),
                new UsageWindows(duties.usageWindow()),
                new UsageLog(log, registry, tracker.trueTime()),
                time,
                tracker.firstWindow());
        new UsageWorker(tracker, duty, eventLoop, log).start();
        eventLoop.scheduleWithFixedDelay(
                this::sendUsage, USAGE_INTERVAL_MILLISECONDS, USAGE_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    private void sendUsage() {
        usage.ifPresent(tracker -> peers.sendUsage(tracker.unsettledUsage(), tracker.collectors()));
    }

    /** Hands the last counts over before the process ends. */
    private void finishStop() {
        sendUsage();
        stopped.countDown();
    }

    private void sendReport() {
        reporter.sendReport();
    }

    private void detectDisconnectedCallers() {
        callers.detectDisconnectedCallers();
    }

    private void runPeriodicChecks() {
        long nowNanos = time.monotonicNanos();
        eventLoopMonitor.taskRun(nowNanos);
        storeFreshness.eventLoopRan(CHECK_INTERVAL, nowNanos);
        state.expirePeers(nowNanos);
        state.configuration().ifPresent(known -> origins.configured(known.longestTimeout(), known.resumableServices()));
        origins.serversObserved(state.servers(), state.reachesStore() && state.serverListReliable());
        fatalRequests.expire();
        state.samplePromptLoads(waitQueues::anyWaiting);
        cacheListQueries.sendDue();
        if (!gracefulStop.begun()) {
            healthProbes.sendDue();
        }
        state.expireServers(nowNanos).forEach(connections::remove);
        connections.closeStale();
        callers.enforceTimeouts(nowNanos);
        buffers.check();
        gracefulStop.advance(nowNanos);
    }

    private FullHttpResponse readinessAnswer() {
        return state.ready() && !gracefulStop.begun()
                ? LocalAnswers.of(HttpResponseStatus.OK, "ready")
                : LocalAnswers.of(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready");
    }

    private final class PeerMessages implements PeerListener {
        @Override
        public void reportReceived(PeerReport report) {
            state.peerSharing().peerReported(report, time.monotonicNanos());
            origins.versionsReported(report.versions());
            fatalRequests.terminationsReported(report.serverTerminations(), report.entry());
            usage.ifPresent(
                    tracker -> report.duties().ifPresent(status -> tracker.peerReported(report.entry(), status)));
        }

        @Override
        public void loadChangesReceived(LoadChanges changes) {
            state.peerSharing().peerLoadChanged(changes);
        }

        @Override
        public void usageReceived(EntryUsage counts) {
            usage.ifPresent(tracker -> tracker.usageReceived(counts));
        }

        @Override
        public void streamsTold(List<KnownStream> streams, boolean record) {
            origins.told(streams, record);
        }

        @Override
        public OriginReply originAsked(OriginQuestion question) {
            return origins.answer(settings.process(), question);
        }

        @Override
        public void originReplied(OriginReply reply) {
            origins.replied(reply);
        }
    }
}
