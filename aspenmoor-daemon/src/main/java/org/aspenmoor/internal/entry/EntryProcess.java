package org.aspenmoor.internal.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.administration.DutyStatus;
import org.aspenmoor.internal.claim.ClaimCommitter;
import org.aspenmoor.internal.claim.ClaimDecision;
import org.aspenmoor.internal.claim.ClaimSettings;
import org.aspenmoor.internal.claims.ClaimHandler;
import org.aspenmoor.internal.claims.ClaimMessage;
import org.aspenmoor.internal.document.DocumentRegistry;
import org.aspenmoor.internal.duty.Ticker;
import org.aspenmoor.internal.duty.Worker;
import org.aspenmoor.internal.link.LinkNetwork;
import org.aspenmoor.internal.link.WorkerLinkListener;
import org.aspenmoor.internal.membership.MembershipView;
import org.aspenmoor.internal.planner.EngineSnapshot;
import org.aspenmoor.internal.planner.PlanDrafter;
import org.aspenmoor.internal.planner.PlannerWorker;
import org.aspenmoor.internal.retry.BreakerSettings;
import org.aspenmoor.internal.retry.CircuitBreaker;
import org.aspenmoor.internal.rollout.LoadBudget;
import org.aspenmoor.internal.routing.RouterSettings;
import org.aspenmoor.internal.settings.EntrySettings;
import org.aspenmoor.internal.settings.ProcessSettings;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.store.client.CollectionListener;
import org.aspenmoor.internal.store.client.WatchedCollection;
import org.aspenmoor.internal.time.TimeSource;
import org.aspenmoor.internal.wire.FramePipeline;
import org.aspenmoor.internal.wire.v1.Hello;
import org.jboss.logging.Logger;

/** A running entry: its event loop, its links, and the store collections it watches. */
public final class EntryProcess implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger("entry");
    private static final int RING_SIZE = 8192;
    private static final int CLAIM_RING_SIZE = 4096;
    private static final double CLAIM_SHARE_OF_STORE_CALLS = 0.75;
    private static final double STORE_CALLS_PER_COMMIT = 2;
    private static final long PLANNER_QUERY_TIMEOUT_SECONDS = 2;
    private static final double MODEL_LOADS_PER_SECOND = 1;
    private static final double MAX_SAVED_MODEL_LOADS = 10;
    private static final Duration TICK = Duration.ofMillis(50);
    private static final List<ObjectKind> WATCHED_KINDS =
            List.of(ObjectKind.DOCUMENT, ObjectKind.AGENT_REGISTRATION, ObjectKind.HOST);

    private final EntrySettings settings;
    private final Worker<EntryMessage> eventLoop;
    private final Worker<ClaimMessage> claimWorker;
    private final DocumentRegistry registry;
    private final PlannerWorker planner;
    private final LinkNetwork network;
    private final Ticker ticker = new Ticker();
    private final List<WatchedCollection> watchedCollections = new ArrayList<>();
    private final AtomicInteger synchronisedKinds = new AtomicInteger();
    private volatile boolean stopping;

    public EntryProcess(
            EntrySettings settings,
            ObjectStore store,
            CollectionFactory collectionFactory,
            TimeSource time,
            RandomGenerator random,
            EntryMetrics metrics) {
        this.settings = settings;
        this.network = new LinkNetwork(
                hello(settings.process(), random),
                new WorkerLinkListener<>(
                        this::postToEventLoop,
                        EntryMessage.LinkOpened::new,
                        EntryMessage.FrameArrived::new,
                        EntryMessage.LinkClosed::new));
        this.registry = new DocumentRegistry(time);
        ClaimSettings claimSettings = ClaimSettings.DEFAULT;
        ClaimCommitter claimCommitter = new ClaimCommitter(store, claimSettings, time, random);
        this.claimWorker = new Worker<>(
                "entry-claims",
                CLAIM_RING_SIZE,
                new ClaimHandler(
                        claimCommitter,
                        claimSettings,
                        new CircuitBreaker(ClaimHandler.STORE_BREAKER, time, random),
                        time,
                        settings.process().storeCallsPerSecond() * CLAIM_SHARE_OF_STORE_CALLS / STORE_CALLS_PER_COMMIT,
                        this::postClaimDecision));
        ServiceQueues serviceQueues = new ServiceQueues(
                registry, routerSettings(settings), settings.limits().maxWaitingRequests(), random);
        MembershipView membership = new MembershipView(MembershipTimeouts.of(settings.leavingBound()), time);
        AgentDirectory directory = new AgentDirectory(
                network, membership, () -> new CircuitBreaker(BreakerSettings.DEFAULT, time, random), serviceQueues);
        EntryEventLoop handler = new EntryEventLoop(
                settings,
                time,
                directory,
                serviceQueues,
                new ClaimClient(claimWorker),
                new DocumentIndex(registry),
                metrics);
        this.eventLoop = new Worker<>("entry-events", RING_SIZE, handler);
        LoadBudget loadBudget = new LoadBudget(time, MODEL_LOADS_PER_SECOND, MAX_SAVED_MODEL_LOADS);
        this.planner = new PlannerWorker(
                settings.process().name() + "/" + RequestId.draw(random),
                settings.process().dataCentre(),
                store,
                registry,
                this::queryEngines,
                new PlanDrafter(loadBudget),
                time,
                random);
        WATCHED_KINDS.forEach(
                kind -> watchedCollections.add(collectionFactory.create(store, kind, new StoreChangeForwarder(kind))));
    }

    /** Starts the threads and returns the link port. */
    public int start() throws AspenmoorException {
        eventLoop.start();
        claimWorker.start();
        int port =
                network.listen(settings.process().address(), settings.process().linkPort());
        watchedCollections.forEach(WatchedCollection::start);
        planner.start();
        ticker.scheduleEvery(TICK, () -> eventLoop.offer(new EntryMessage.Tick()));
        ticker.scheduleEvery(TICK, () -> claimWorker.offer(new ClaimMessage.Tick()));
        LOG.infof(
                "entry: %s started in %s, link port %d",
                settings.process().name(), settings.process().dataCentre(), port);
        return port;
    }

    /** Returns the worker that processes the requests of callers. */
    public Worker<EntryMessage> eventLoop() {
        return eventLoop;
    }

    /** Returns whether the entry has loaded its documents and accepts requests. */
    public boolean isReady() {
        return !stopping && synchronisedKinds.get() >= WATCHED_KINDS.size();
    }

    /** Requests a dump of the state. */
    public CompletableFuture<ObjectNode> dump() {
        CompletableFuture<ObjectNode> answer = new CompletableFuture<>();
        eventLoop.put(new EntryMessage.DumpAsked(answer));
        return answer.thenApply(node -> {
            node.put("process", settings.process().name());
            node.put("role", "entry");
            eventLoop.state().writeTo(node.putObject("duty"));
            return node;
        });
    }

    /** Returns the holders of the planner duties, as known to this entry. */
    public List<DutyStatus> duties() {
        return planner.duties();
    }

    private List<EngineSnapshot> queryEngines() {
        CompletableFuture<List<EngineSnapshot>> answer = new CompletableFuture<>();
        eventLoop.put(new EntryMessage.EnginesAsked(answer));
        return answer.completeOnTimeout(List.of(), PLANNER_QUERY_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .join();
    }

    /** Requests the trace of a request; empty if it is no longer kept. */
    public CompletableFuture<Optional<RequestTrace>> trace(RequestId id) {
        CompletableFuture<Optional<RequestTrace>> answer = new CompletableFuture<>();
        eventLoop.put(new EntryMessage.TraceAsked(id, answer));
        return answer;
    }

    /**
     * Starts a graceful shutdown; the future completes once no request is active and pending claims have been flushed.
     */
    public CompletableFuture<Void> drain() {
        stopping = true;
        CompletableFuture<Void> drained = new CompletableFuture<>();
        eventLoop.put(new EntryMessage.DrainAsked(drained));
        return drained.thenCompose(ignored -> flushClaims());
    }

    /** Returns the documents in force. */
    public DocumentRegistry registry() {
        return registry;
    }

    private CompletableFuture<Void> flushClaims() {
        CompletableFuture<Void> flushed = new CompletableFuture<>();
        claimWorker.put(new ClaimMessage.FlushAsked(flushed));
        return flushed;
    }

    private void postClaimDecision(ClaimDecision decision) {
        eventLoop.put(new EntryMessage.ClaimJudged(decision));
    }

    private static RouterSettings routerSettings(EntrySettings settings) {
        RouterSettings defaults = RouterSettings.defaults(settings.process().dataCentre());
        return new RouterSettings(
                settings.engineSpeed(),
                defaults.dataCentre(),
                defaults.remoteLatencySeconds(),
                defaults.sampledCandidates(),
                defaults.adapterLoadSeconds(),
                defaults.maxIndexedBlocks(),
                defaults.blockTokens());
    }

    @Override
    public void close() {
        planner.close();
        ticker.close();
        watchedCollections.forEach(WatchedCollection::close);
        network.close();
        claimWorker.close();
        eventLoop.close();
    }

    private void postToEventLoop(EntryMessage message) {
        eventLoop.put(message);
    }

    private static Hello hello(ProcessSettings process, RandomGenerator random) {
        return Hello.newBuilder()
                .setProtocolVersion(FramePipeline.PROTOCOL_VERSION)
                .setProcess(process.name())
                .setIncarnation(RequestId.draw(random).toString())
                .setDataCentre(process.dataCentre())
                .build();
    }

    /** Forwards changes in the store to the event loop's ring buffer. */
    private final class StoreChangeForwarder implements CollectionListener {
        private final ObjectKind kind;
        private boolean synchronisedOnce;

        private StoreChangeForwarder(ObjectKind kind) {
            this.kind = kind;
        }

        @Override
        public void changed(StoredObject object) {
            eventLoop.put(new EntryMessage.ObjectChanged(object));
        }

        @Override
        public void deleted(StoredObject object) {
            eventLoop.put(new EntryMessage.ObjectDeleted(object));
        }

        @Override
        public void synchronised() {
            eventLoop.put(new EntryMessage.CollectionKnown(kind));
            if (!synchronisedOnce) {
                synchronisedOnce = true;
                synchronisedKinds.incrementAndGet();
            }
        }

        @Override
        public void interrupted(StoreException cause) {
            LOG.warnf("entry: a store watch was interrupted; continuing with the known state: %s", cause.problem());
        }
    }
}
