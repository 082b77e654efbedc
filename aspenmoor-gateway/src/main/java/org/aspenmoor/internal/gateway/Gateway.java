package org.aspenmoor.internal.gateway;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.gateway.backend.AwaitedAnswer;
import org.aspenmoor.internal.gateway.backend.BackendConnections;
import org.aspenmoor.internal.gateway.caller.CallerServer;
import org.aspenmoor.internal.gateway.caller.LocalAnswers;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.gateway.membership.ConfigurationListener;
import org.aspenmoor.internal.gateway.membership.RegistrationDecoder;
import org.aspenmoor.internal.gateway.membership.ServerListener;
import org.aspenmoor.internal.gateway.peers.PeerDirectory;
import org.aspenmoor.internal.gateway.peers.PeerExchange;
import org.aspenmoor.internal.gateway.protocol.BackendProtocol;
import org.aspenmoor.internal.gateway.protocol.CallerProtocol;
import org.aspenmoor.internal.gateway.quarantine.FatalRequestKeeper;
import org.aspenmoor.internal.gateway.quarantine.FatalRequests;
import org.aspenmoor.internal.gateway.request.GatewayMetrics;
import org.aspenmoor.internal.gateway.request.RequestDispatcher;
import org.aspenmoor.internal.gateway.request.RequestTools;
import org.aspenmoor.internal.gateway.request.ServingState;
import org.aspenmoor.internal.gateway.request.WaitingRequests;
import org.aspenmoor.internal.gateway.roles.FleetSnapshot;
import org.aspenmoor.internal.gateway.roles.RoleKeeper;
import org.aspenmoor.internal.gateway.settings.GatewaySettings;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.PeerReport;
import org.aspenmoor.internal.serving.RoleChange;
import org.aspenmoor.internal.serving.roles.OrderRight;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.client.CollectionListener;
import org.aspenmoor.internal.store.client.StoreSettings;
import org.aspenmoor.internal.store.client.WatchedCollection;
import org.aspenmoor.internal.time.TimeSource;

/** One entry process: an event loop with all requests, and a thread for each collection it follows in the store. */
public final class Gateway {
    /** How often limits, doubtful servers and a planned stop are looked at. */
    private static final long CHECK_MILLISECONDS = 100;

    private final GatewaySettings settings;
    private final TimeSource time;
    private final RandomGenerator random;
    private final DecisionLog log;
    private final BackendProtocol backendProtocol;
    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop eventLoop = group.next();
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final ServingState state;
    private final BackendConnections connections;
    private final WaitingRequests lines;
    private final FatalRequests fatalRequests;
    private final RequestDispatcher dispatcher;
    private final CallerServer callers;
    private final GracefulStop stop;
    private final StateDump dump;
    private final PeerExchange peers;
    private final CountDownLatch ended = new CountDownLatch(1);
    private final List<WatchedCollection> followed = new ArrayList<>();
    private InetSocketAddress callersAddress;
    private InetSocketAddress readinessAddress;
    private InetSocketAddress administrationAddress;

    public Gateway(
            GatewaySettings settings,
            CallerProtocol callerProtocol,
            BackendProtocol backendProtocol,
            TimeSource time,
            RandomGenerator random,
            DecisionLog log) {
        this.settings = settings;
        this.time = time;
        this.random = random;
        this.log = log;
        this.backendProtocol = backendProtocol;
        this.state = new ServingState(time, random, settings.repeats(), log, settings.placement());
        this.connections = new BackendConnections(backendProtocol, eventLoop, time, state::connectionShare);
        this.lines = new WaitingRequests(time, eventLoop);
        this.fatalRequests = new FatalRequests(time, log);
        RequestTools tools = new RequestTools(
                state,
                connections,
                backendProtocol,
                eventLoop,
                new GatewayMetrics(registry, connections::opened, state::servers, fatalRequests::quarantined),
                lines,
                fatalRequests);
        this.dispatcher = new RequestDispatcher(tools, callerProtocol, settings.mostBodyBytes());
        this.callers = new CallerServer(dispatcher, time);
        this.peers = new PeerExchange(settings.process(), time, eventLoop, log, this::heard);
        this.stop = new GracefulStop(callers, dispatcher, settings.grace(), ended::countDown);
        this.dump = new StateDump(settings.process(), state, callers, connections, stop, fatalRequests);
    }

    /** Opens the ports and begins to follow the store. */
    public void start(ObjectStore store, StoreSettings storeSettings, RegistrationDecoder decoder)
            throws AspenmoorException {
        follow(
                store,
                storeSettings,
                ObjectKind.SERVING_CONFIGURATION,
                new ConfigurationListener(decoder, state, eventLoop, log));
        follow(
                store,
                storeSettings,
                ObjectKind.BACKEND_SERVER,
                new ServerListener(decoder, state, connections, eventLoop, time, log, store::generation));
        FatalRequestKeeper keeper =
                new FatalRequestKeeper(store, fatalRequests, state::fatalRequestsKnown, eventLoop, time, random, log);
        follow(store, storeSettings, ObjectKind.FATAL_REQUEST, keeper);
        keeper.start();
        GaugeWithCallback.builder()
                .name("aspenmoor_store_generation")
                .help("Generation of the store's history; rises where the store came back from an older copy.")
                .callback(callback -> callback.call((double) store.generation()))
                .register(registry);
        readinessAddress = new PlainHttpServer(Map.of(settings.readinessPath(), this::readiness))
                .start(group, settings.readiness());
        administrationAddress = new PlainHttpServer(Map.of("/metrics", this::metrics, "/state", this::stateDump))
                .start(group, settings.administration());
        peers.open(settings.peers());
        new PeerDirectory(
                        store,
                        settings.process(),
                        peers.address(),
                        addresses -> eventLoop.execute(() -> peers.know(addresses)),
                        log)
                .start();
        eventLoop.execute(this::tellPeers);
        startRoleKeeper(store);
        callersAddress = callers.start(group, settings.callers());
        eventLoop.scheduleWithFixedDelay(this::check, CHECK_MILLISECONDS, CHECK_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    /** Returns where callers are served. */
    public InetSocketAddress callersAddress() {
        return callersAddress;
    }

    /** Returns where readiness is told. */
    public InetSocketAddress readinessAddress() {
        return readinessAddress;
    }

    /** Returns where metrics are served. */
    public InetSocketAddress administrationAddress() {
        return administrationAddress;
    }

    /** Takes changed settings up; addresses stay as they are. */
    public void reload(GatewaySettings changed) {
        eventLoop.execute(() -> {
            state.reload(changed.repeats(), changed.placement());
            stop.reload(changed.grace());
        });
    }

    /** Begins a planned stop. */
    public void stop() {
        eventLoop.execute(() -> stop.begin(time.monotonicNanos()));
    }

    /** Waits for the end of a planned stop. */
    public void awaitEnd() throws InterruptedException {
        ended.await();
    }

    /** Ends all at once, without regard to requests. */
    public void close() {
        followed.forEach(WatchedCollection::close);
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private void follow(ObjectStore store, StoreSettings storeSettings, ObjectKind kind, CollectionListener listener) {
        WatchedCollection collection = new WatchedCollection(store, kind, listener, random, storeSettings);
        followed.add(collection);
        collection.start();
    }

    private void startRoleKeeper(ObjectStore store) {
        ObjectKey key = new ObjectKey(ObjectKind.ORDER_RIGHT, ObjectKey.PLATFORM_NAMESPACE, "engines");
        OrderRight right = new OrderRight(store, key, settings.process(), time);
        Supplier<FleetSnapshot> fleet =
                () -> CompletableFuture.supplyAsync(() -> state.snapshot(settings.process()), eventLoop)
                        .join();
        Consumer<RoleChange> accepted = change -> eventLoop.execute(() -> state.roleOrdered(change));
        new RoleKeeper(settings.process(), fleet, accepted, right, connections, backendProtocol, eventLoop, log)
                .start();
    }

    private void heard(PeerReport report) {
        state.peerHeard(report, time.monotonicNanos());
        fatalRequests.heard(report.ends(), report.entry());
    }

    private void tellPeers() {
        peers.tell(
                state.ownShares(),
                state.takeUntoldPrompts(),
                state.learntSpeeds(),
                state.eventLengths(),
                state.roleChanges(),
                fatalRequests.takeNews(),
                stop.begun());
        eventLoop.schedule(this::tellPeers, peers.pause().toMillis(), TimeUnit.MILLISECONDS);
    }

    private void check() {
        long now = time.monotonicNanos();
        state.expirePeers(now);
        fatalRequests.check();
        state.samplePressure(lines::anyFor);
        state.takeUnlistedEngines().forEach(this::askCache);
        state.expireServers(now).forEach(connections::forget);
        connections.closeStale();
        callers.check(now);
        stop.check(now);
    }

    private void askCache(BackendServer engine) {
        AwaitedAnswer answer = new AwaitedAnswer();
        answer.done().whenComplete((told, failure) -> {
            if (failure != null) {
                log.notable("cache-unknown")
                        .with("server", engine.id())
                        .with("reason", String.valueOf(failure.getMessage()))
                        .write();
                return;
            }
            state.cacheListed(engine, backendProtocol.readCache(told.body()), time.monotonicNanos());
        });
        connections.send(engine, "", backendProtocol.askCache(engine.id()), answer);
    }

    private FullHttpResponse readiness() {
        boolean ready = state.ready() && !stop.begun();
        return ready
                ? LocalAnswers.of(HttpResponseStatus.OK, "ready")
                : LocalAnswers.of(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready");
    }

    private FullHttpResponse stateDump() {
        byte[] text = dump.take().toPrettyString().getBytes(StandardCharsets.UTF_8);
        return page(text, "application/json");
    }

    private FullHttpResponse metrics() {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            new PrometheusTextFormatWriter(false).write(text, registry.scrape());
        } catch (IOException impossible) {
            throw new UncheckedIOException("Writing to memory failed.", impossible);
        }
        return page(text.toByteArray(), PrometheusTextFormatWriter.CONTENT_TYPE);
    }

    private static FullHttpResponse page(byte[] text, String type) {
        FullHttpResponse answer =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(text));
        answer.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
        answer.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, text.length);
        return answer;
    }
}
