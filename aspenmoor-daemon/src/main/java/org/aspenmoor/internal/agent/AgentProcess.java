package org.aspenmoor.internal.agent;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.random.RandomGenerator;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.authority.PauseDetector;
import org.aspenmoor.internal.authority.SlotTimings;
import org.aspenmoor.internal.duty.Ticker;
import org.aspenmoor.internal.duty.Worker;
import org.aspenmoor.internal.engine.EngineControl;
import org.aspenmoor.internal.link.LinkNetwork;
import org.aspenmoor.internal.link.WorkerLinkListener;
import org.aspenmoor.internal.registration.AgentRegistration;
import org.aspenmoor.internal.settings.AgentSettings;
import org.aspenmoor.internal.settings.BackendType;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.time.TimeSource;
import org.aspenmoor.internal.wire.FramePipeline;
import org.aspenmoor.internal.wire.v1.Hello;
import org.jboss.logging.Logger;

/** A running agent: its event loop, its links, its calls to the backend server, and its registration. */
public final class AgentProcess implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger("agent");
    private static final int RING_SIZE = 8192;
    private static final int CALL_THREADS = 2;
    private static final Duration TICK = Duration.ofMillis(500);

    private final AgentSettings settings;
    private final ObjectStore store;
    private final RandomGenerator random;
    private final String incarnation;
    private final ExecutorService callThreads = Executors.newFixedThreadPool(
            CALL_THREADS,
            work -> Thread.ofPlatform().name("aspenmoor-calls").daemon(true).unstarted(work));
    private final Worker<AgentMessage> eventLoop;
    private final LinkNetwork network;
    private final StatusPoller statusPoller;
    private final EventLoopDrain drain;
    private final Optional<OrderWorker> orderWorker;
    private final Ticker ticker = new Ticker();
    private RegistrationWorker registrationWorker;
    private volatile boolean stopping;

    public AgentProcess(
            AgentSettings settings, ObjectStore store, TimeSource time, RandomGenerator random, AgentMetrics metrics) {
        this.settings = settings;
        this.store = store;
        this.random = random;
        this.incarnation = RequestId.draw(random).toString();
        BackendClients clients = new BackendClients(callThreads);
        DeferredCaller caller = new DeferredCaller();
        LoadReportFilter reports = new LoadReportFilter(settings.backend().name(), time);
        this.drain = new EventLoopDrain(
                this::postToEventLoop, new PauseDetector(time, SlotTimings.DEFAULT.pauseThreshold()));
        boolean takesOrders = settings.backend().type() == BackendType.ENGINE;
        AgentEventLoop handler = new AgentEventLoop(
                settings, caller, reports, drain::runningChanged, takesOrders ? drain : PauseGuard.NONE, metrics);
        this.eventLoop = new Worker<>("agent-events", RING_SIZE, handler);
        caller.setCaller(new HttpBackendCaller(clients, settings.backend().url(), eventLoop));
        this.network = new LinkNetwork(
                hello(),
                new WorkerLinkListener<>(
                        this::postToEventLoop,
                        AgentMessage.LinkOpened::new,
                        AgentMessage.FrameArrived::new,
                        (link, cause) -> new AgentMessage.LinkClosed(link)));
        EngineControl control =
                new HttpEngineControl(clients, settings.backend().url());
        this.statusPoller = new StatusPoller(control, eventLoop);
        this.orderWorker = takesOrders
                ? Optional.of(new OrderWorker(settings, incarnation, store, control, drain, time, random))
                : Optional.empty();
    }

    /** Starts the threads and returns the link port. */
    public int start() throws AspenmoorException {
        eventLoop.start();
        int port =
                network.listen(settings.process().address(), settings.process().linkPort());
        statusPoller.start();
        orderWorker.ifPresent(OrderWorker::start);
        ticker.scheduleEvery(TICK, () -> eventLoop.offer(new AgentMessage.Tick()));
        registrationWorker = new RegistrationWorker(store, registrationFor(port), random);
        registrationWorker.start();
        LOG.infof(
                "agent: %s started for backend server %s, link port %d",
                settings.process().name(), settings.backend().name(), port);
        return port;
    }

    /** Returns whether the agent accepts work. */
    public boolean isReady() {
        return !stopping;
    }

    /** Requests a dump of the state. */
    public CompletableFuture<ObjectNode> dump() {
        CompletableFuture<ObjectNode> answer = new CompletableFuture<>();
        eventLoop.put(new AgentMessage.DumpAsked(answer));
        return answer.thenApply(node -> {
            node.put("process", settings.process().name());
            node.put("role", "agent");
            node.put("backend", settings.backend().name());
            orderWorker.ifPresent(worker -> worker.dump(node.putObject("orders")));
            eventLoop.state().writeTo(node.putObject("duty"));
            return node;
        });
    }

    /**
     * Starts a graceful shutdown: entries are notified and running requests finish; the future completes once none is
     * running.
     */
    public CompletableFuture<Void> drain() {
        stopping = true;
        CompletableFuture<Void> drained = new CompletableFuture<>();
        eventLoop.put(new AgentMessage.DrainAsked("the agent is stopping", drained));
        return drained;
    }

    @Override
    public void close() {
        registrationWorker.deregister();
        registrationWorker.close();
        ticker.close();
        statusPoller.close();
        orderWorker.ifPresent(OrderWorker::close);
        network.close();
        eventLoop.close();
        callThreads.shutdownNow();
    }

    private void postToEventLoop(AgentMessage message) {
        eventLoop.put(message);
    }

    private Hello hello() {
        return Hello.newBuilder()
                .setProtocolVersion(FramePipeline.PROTOCOL_VERSION)
                .setProcess(settings.process().name())
                .setIncarnation(incarnation)
                .setDataCentre(settings.process().dataCentre())
                .setBackend(settings.backend().name())
                .setRequestCredit(settings.requestCredit())
                .build();
    }

    private AgentRegistration registrationFor(int port) {
        return new AgentRegistration(
                settings.backend().name(),
                settings.backend().team(),
                settings.backend().service(),
                settings.backend().host(),
                settings.process().dataCentre(),
                settings.process().address(),
                port,
                incarnation);
    }
}
