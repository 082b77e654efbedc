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
import org.aspenmoor.internal.claim.ClaimSettings;
import org.aspenmoor.internal.claim.ClaimVerdict;
import org.aspenmoor.internal.claims.ClaimHandler;
import org.aspenmoor.internal.claims.ClaimMessage;
import org.aspenmoor.internal.document.DocumentRegistry;
import org.aspenmoor.internal.duty.Ticker;
import org.aspenmoor.internal.duty.Worker;
import org.aspenmoor.internal.link.LinkNetwork;
import org.aspenmoor.internal.link.WorkerLinkListener;
import org.aspenmoor.internal.membership.MembershipView;
import org.aspenmoor.internal.planner.EngineSnapshot;
import org.aspenmoor.internal.planner.PlanDraft;
import org.aspenmoor.internal.planner.PlannerDuty;
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

/** A running entry: its eventLoop, its links, and what it follows in the store. */
public final class EntryProcess implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger("entry");
    private static final int RING_SIZE = 8192;
    private static final int CLAIM_RING_SIZE = 4096;
    private static final double CLAIM_SHARE = 0.75;
    private static final double CALLS_OF_COMMIT = 2;
    private static final long PLANNER_PATIENCE_SECONDS = 2;
    private static final double LOADS_PER_SECOND = 1;
    private static final double MOST_LOADS_SAVED = 10;
    private static final Duration TICK = Duration.ofMillis(50);
    private static final List<ObjectKind> FOLLOWED =
            List.of(ObjectKind.DOCUMENT, ObjectKind.AGENT_REGISTRATION, ObjectKind.HOST);

    private final EntrySettings settings;
    private final Worker<EntryMessage> eventLoop;
    private final Worker<ClaimMessage> claimDuty;
    private final DocumentRegistry registry;
    private final PlannerDuty planner;
    private final LinkNetwork network;
    private final Ticker ticker = new Ticker();
    private final List<WatchedCollection> followed = new ArrayList<>();
    private final AtomicInteger synchronisedKinds = new AtomicInteger();
    private volatile boolean stopping;

    public EntryProcess(
            EntrySettings settings,
            ObjectStore store,
            CollectionFactory collections,
            TimeSource time,
            RandomGenerator random,
            EntryMetrics metrics) {
        this.settings = settings;
        this.network = new LinkNetwork(
                hello(settings.process(), random),
                new WorkerLinkListener<>(
                        this::tellEventLoop,
                        EntryMessage.LinkOpened::new,
                        EntryMessage.FrameArrived::new,
                        EntryMessage.LinkClosed::new));
        this.registry = new DocumentRegistry(time);
        ClaimSettings claimSettings = ClaimSettings.DEFAULT;
        ClaimCommitter claimCommitter = new ClaimCommitter(store, claimSettings, time, random);
        this.claimDuty = new Worker<>(
                "entry-claims",
                CLAIM_RING_SIZE,
                new ClaimHandler(
                        claimCommitter,
                        claimSettings,
                        new CircuitBreaker(ClaimHandler.STORE_BREAKER, time, random),
                        time,
                        settings.process().storeCallsPerSecond() * CLAIM_SHARE / CALLS_OF_COMMIT,
                        this::claimJudged));
        ServiceQueues serviceQueues = new ServiceQueues(
                registry, routerSettings(settings), settings.limits().maxWaitingRequests(), random);
        MembershipView membership = new MembershipView(MembershipBounds.of(settings.leavingBound()), time);
        AgentDirectory directory = new AgentDirectory(
                network, membership, () -> new CircuitBreaker(BreakerSettings.DEFAULT, time, random), serviceQueues);
        EntryEventLoop handler = new EntryEventLoop(
                settings, time, directory, serviceQueues, new Claims(claimDuty), new DocumentIndex(registry), metrics);
        this.eventLoop = new Worker<>("entry-events", RING_SIZE, handler);
        LoadBudget loadBudget = new LoadBudget(time, LOADS_PER_SECOND, MOST_LOADS_SAVED);
        this.planner = new PlannerDuty(
                settings.process().name() + "/" + RequestId.draw(random),
                settings.process().dataCentre(),
                store,
                registry,
                this::engines,
                new PlanDraft(loadBudget),
                time,
                random);
        FOLLOWED.forEach(kind -> followed.add(collections.follow(store, kind, new EventLoopObjects(kind))));
    }

    /** Starts the threads and returns the link port. */
    public int start() throws AspenmoorException {
        eventLoop.start();
        claimDuty.start();
        int port =
                network.listen(settings.process().address(), settings.process().linkPort());
        followed.forEach(WatchedCollection::start);
        planner.start();
        ticker.scheduleEvery(TICK, () -> eventLoop.offer(new EntryMessage.Tick()));
        ticker.scheduleEvery(TICK, () -> claimDuty.offer(new ClaimMessage.Tick()));
        LOG.infof(
                "entry: %s in %s, link port %d",
                settings.process().name(), settings.process().dataCentre(), port);
        return port;
    }

    /** Returns the duty that callers' requests go to. */
    public Worker<EntryMessage> eventLoop() {
        return eventLoop;
    }

    /** Says whether the entry knows its documents and takes requests. */
    public boolean isReady() {
        return !stopping && synchronisedKinds.get() >= FOLLOWED.size();
    }

    /** Asks for the state. */
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

    /** Returns who holds which duty, as far as this entry knows. */
    public List<DutyStatus> duties() {
        return planner.duties();
    }

    private List<EngineSnapshot> engines() {
        CompletableFuture<List<EngineSnapshot>> answer = new CompletableFuture<>();
        eventLoop.put(new EntryMessage.EnginesAsked(answer));
        return answer.completeOnTimeout(List.of(), PLANNER_PATIENCE_SECONDS, TimeUnit.SECONDS)
                .join();
    }

    /** Asks what became of a request. */
    public CompletableFuture<Optional<RequestTrace>> trace(RequestId id) {
        CompletableFuture<Optional<RequestTrace>> answer = new CompletableFuture<>();
        eventLoop.put(new EntryMessage.TraceAsked(id, answer));
        return answer;
    }

    /** Begins a graceful shutdown; complete once no request is held any more. */
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
        claimDuty.put(new ClaimMessage.FlushAsked(flushed));
        return flushed;
    }

    private void claimJudged(ClaimVerdict verdict) {
        eventLoop.put(new EntryMessage.ClaimJudged(verdict));
    }

    private static RouterSettings routerSettings(EntrySettings settings) {
        RouterSettings usual = RouterSettings.usual(settings.process().dataCentre());
        return new RouterSettings(
                settings.engineSpeed(),
                usual.dataCentre(),
                usual.remoteSeconds(),
                usual.sampledCandidates(),
                usual.adapterLoadSeconds(),
                usual.mostIndexedPieces(),
                usual.pieceTokens());
    }

    @Override
    public void close() {
        planner.close();
        ticker.close();
        followed.forEach(WatchedCollection::close);
        network.close();
        claimDuty.close();
        eventLoop.close();
    }

    private void tellEventLoop(EntryMessage message) {
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

    /** Puts what changes in the store into the event loop's ring. */
    private final class EventLoopObjects implements CollectionListener {
        private final ObjectKind kind;
        private boolean synchronisedOnce;

        private EventLoopObjects(ObjectKind kind) {
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
            LOG.warnf("entry: a watch was interrupted, serving goes on with what is known: %s", cause.problem());
        }
    }
}
