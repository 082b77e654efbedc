package org.aspenmoor.internal.gateway.standin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.gateway.Gateway;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.gateway.membership.RegistrationDecoder;
import org.aspenmoor.internal.gateway.membership.StoreFreshnessFactory;
import org.aspenmoor.internal.gateway.peers.ReportSender;
import org.aspenmoor.internal.gateway.settings.DutySettings;
import org.aspenmoor.internal.gateway.settings.GatewaySettings;
import org.aspenmoor.internal.gateway.settings.StoreBounds;
import org.aspenmoor.internal.organisation.KeyRegistry;
import org.aspenmoor.internal.organisation.OrganisationKeys;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.BackendState;
import org.aspenmoor.internal.serving.ConnectionLimits;
import org.aspenmoor.internal.serving.GenerationTraits;
import org.aspenmoor.internal.serving.RetryRule;
import org.aspenmoor.internal.serving.RoleChange;
import org.aspenmoor.internal.serving.Route;
import org.aspenmoor.internal.serving.RouteTarget;
import org.aspenmoor.internal.serving.ServiceTraits;
import org.aspenmoor.internal.serving.ServingConfiguration;
import org.aspenmoor.internal.serving.SoftwareVersion;
import org.aspenmoor.internal.store.InMemoryObjectStore;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.store.client.StoreSettings;

/** A gateway on free ports of the loopback address, with an in-memory store. */
public final class TestGateway implements AutoCloseable {
    public static final String HOST = "house.example";
    public static final String LOCAL_DATA_CENTRE = "here";

    private static final Duration ROUTE_TIMEOUT = Duration.ofSeconds(15);
    /** Only limits how long a failing test takes; no assertion depends on it. */
    private static final Duration MAX_WAIT = Duration.ofSeconds(60);

    private final InMemoryObjectStore store;
    private final Map<String, ServingConfiguration> configurations;
    private final Map<String, BackendServer> servers;
    private final List<Route> routes = new ArrayList<>();
    private final Set<String> openRoutes = new HashSet<>();
    private final List<ServiceTraits> services = new ArrayList<>();
    private final List<ScriptedBackend> backends = new ArrayList<>();
    private final List<TestGateway> others = new ArrayList<>();
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final Gateway gateway;
    private final TestProtocols protocols = new TestProtocols();
    private final ShiftableTimeSource time = new ShiftableTimeSource();
    private KeyRegistry keys = KeyRegistry.notConfigured();
    private SoftwareVersion softwareVersion = new SoftwareVersion("one");
    private int configurationVersion = 6;

    public TestGateway() throws AspenmoorException {
        this(Optional.empty());
    }

    /** Starts a gateway that performs duties. */
    public TestGateway(Optional<DutySettings> duties) throws AspenmoorException {
        this(
                "entry-under-test",
                new InMemoryObjectStore(),
                new ConcurrentHashMap<>(),
                new ConcurrentHashMap<>(),
                duties);
    }

    /** Starts a gateway at a given address for callers, whose calls to the store are observed. */
    public TestGateway(InetSocketAddress callers, StoreBounds bounds, UnaryOperator<ObjectStore> observer)
            throws AspenmoorException {
        this(
                "entry-under-test",
                new InMemoryObjectStore(),
                new ConcurrentHashMap<>(),
                new ConcurrentHashMap<>(),
                Optional.empty(),
                callers,
                observer,
                bounds);
    }

    private TestGateway(
            String process,
            InMemoryObjectStore store,
            Map<String, ServingConfiguration> configurations,
            Map<String, BackendServer> servers,
            Optional<DutySettings> duties)
            throws AspenmoorException {
        this(
                process,
                store,
                configurations,
                servers,
                duties,
                TestSettings.anyFreePort(),
                UnaryOperator.identity(),
                StoreBounds.NONE);
    }

    private TestGateway(
            String process,
            InMemoryObjectStore store,
            Map<String, ServingConfiguration> configurations,
            Map<String, BackendServer> servers,
            Optional<DutySettings> duties,
            InetSocketAddress callers,
            UnaryOperator<ObjectStore> observer,
            StoreBounds bounds)
            throws AspenmoorException {
        this.store = store;
        this.configurations = configurations;
        this.servers = servers;
        GatewaySettings settings = TestSettings.create(process, callers, duties, TestSettings.AMPLE_RETRIES, bounds);
        DecisionLog log = new DecisionLog(time, process, new PrintStream(logged, true, StandardCharsets.UTF_8));
        log.start();
        StoreSettings storeSettings = StoreSettings.defaults();
        var freshness = StoreFreshnessFactory.create(settings, storeSettings.callTimeout());
        this.gateway = new Gateway(settings, protocols, protocols, protocols, time, new Random(1), freshness, log);
        gateway.start(observer.apply(store), storeSettings, new Decoder());
    }

    /** Sets whether the budgets of all services leave any retries from now on. */
    public void allowRetries(boolean allowed) {
        gateway.reload(TestSettings.create(
                "entry-under-test",
                TestSettings.anyFreePort(),
                Optional.empty(),
                allowed ? TestSettings.AMPLE_RETRIES : TestSettings.NO_RETRIES));
    }

    /** Starts another entry for the same backend servers, and returns when it is ready; it is closed with this one. */
    public TestGateway startAnother(String process) throws AspenmoorException, IOException {
        TestGateway other = new TestGateway(process, store, configurations, servers, Optional.empty());
        others.add(other);
        other.awaitReady();
        return other;
    }

    /** Adds a route to a service; it applies after {@link #publish}. */
    public TestGateway route(String path, RetryRule rule, boolean streamed, int maxBackends, String service) {
        return route(path, rule, streamed, maxBackends, service, ROUTE_TIMEOUT);
    }

    /** Adds a route whose callers disconnect when a stream pauses for too long; it applies after {@link #publish}. */
    public TestGateway route(
            String path, RetryRule rule, boolean streamed, int maxBackends, String service, Duration maxStreamPause) {
        routes.add(new Route(
                "route-" + path,
                HOST,
                path,
                rule,
                streamed,
                ROUTE_TIMEOUT,
                Duration.ofSeconds(2),
                maxStreamPause,
                maxBackends,
                0,
                openRoutes.contains(path),
                List.of(new RouteTarget(service, 1))));
        return this;
    }

    /** Adds a route that needs no key; it applies after {@link #publish}. */
    public TestGateway openRoute(String path, String service) {
        openRoutes.add(path);
        return route(path, RetryRule.AT_MOST_ONCE, false, 1, service);
    }

    /** Sets the organisations and their keys; they apply after {@link #publish}. */
    public TestGateway organisations(List<OrganisationKeys> organisations) {
        keys = KeyRegistry.of(organisations);
        return this;
    }

    /** Limits the connections that one server of a plain service accepts; it applies after {@link #publish}. */
    public TestGateway connectionLimit(String service, int maxConnections) {
        services.add(new ServiceTraits(service, maxConnections, Optional.empty(), Optional.empty()));
        return this;
    }

    /** Sets the health path of the servers of a plain service; it applies after {@link #publish}. */
    public TestGateway healthPath(String service, String path) {
        services.add(new ServiceTraits(service, 100, Optional.of(path), Optional.empty()));
        return this;
    }

    /** Sets the software version of the servers that are registered from now on. */
    public TestGateway softwareVersion(String name) {
        softwareVersion = new SoftwareVersion(name);
        return this;
    }

    /** Starts and registers a plain server that replies by a script; it is closed with the gateway. */
    public ScriptedBackend backend(String id, String service, ScriptedBackend.Script script)
            throws IOException, StoreException {
        return backend(id, service, EngineRole.WHOLE, LOCAL_DATA_CENTRE, script);
    }

    /** Starts and registers a server that replies by a script; it is closed with the gateway. */
    public ScriptedBackend backend(
            String id, String service, EngineRole role, String dataCentre, ScriptedBackend.Script script)
            throws IOException, StoreException {
        ScriptedBackend backend = new ScriptedBackend(script);
        backends.add(backend);
        server(id, service, backend.port(), role, dataCentre);
        return backend;
    }

    /** Registers a plain server. */
    public TestGateway server(String id, String service, int port) throws StoreException {
        return server(id, service, port, EngineRole.WHOLE);
    }

    /** Registers a server. */
    public TestGateway server(String id, String service, int port, EngineRole role) throws StoreException {
        return server(id, service, port, role, LOCAL_DATA_CENTRE);
    }

    /** Registers a server in a data centre; this entry runs in {@link #LOCAL_DATA_CENTRE}. */
    public TestGateway server(String id, String service, int port, EngineRole role, String dataCentre)
            throws StoreException {
        BackendServer server = new BackendServer(
                id, 1, service, softwareVersion, "127.0.0.1", port, dataCentre, 4, BackendState.READY, role);
        servers.put(id, server);
        store.create(new ObjectKey(ObjectKind.BACKEND_SERVER, ObjectKey.PLATFORM_NAMESPACE, id), "{}");
        return this;
    }

    /** Registers a new incarnation of a plain server under the same id; returns when the gateway knows it. */
    public void restartServer(String id, String service, int port, long startedAt) throws StoreException, IOException {
        BackendServer server = new BackendServer(
                id,
                startedAt,
                service,
                softwareVersion,
                "127.0.0.1",
                port,
                LOCAL_DATA_CENTRE,
                4,
                BackendState.READY,
                EngineRole.WHOLE);
        servers.put(id, server);
        ObjectKey key = new ObjectKey(ObjectKind.BACKEND_SERVER, ObjectKey.PLATFORM_NAMESPACE, id);
        store.update(store.read(key).orElseThrow(), "{\"startedAt\":" + startedAt + "}");
        awaitLogged("\"startedAt\":" + startedAt);
    }

    /** Publishes the routes and waits until requests are served. */
    public void publish() throws StoreException, IOException {
        services.add(new ServiceTraits("model", 100, Optional.empty(), Optional.of(new GenerationTraits(100_000))));
        putConfiguration();
        store.create(new ObjectKey(ObjectKind.SERVING_CONFIGURATION, ObjectKey.PLATFORM_NAMESPACE, "main"), "{}");
        awaitReady();
    }

    /** Replaces the organisations and their keys; returns when the change is in force. */
    public void changeOrganisations(List<OrganisationKeys> organisations) throws StoreException, IOException {
        organisations(organisations);
        putConfiguration();
        ObjectKey key = new ObjectKey(ObjectKind.SERVING_CONFIGURATION, ObjectKey.PLATFORM_NAMESPACE, "main");
        store.update(store.read(key).orElseThrow(), "{\"version\":" + configurationVersion + "}");
        awaitLogged("\"version\":" + configurationVersion);
    }

    private void putConfiguration() {
        configurationVersion++;
        configurations.put(
                "main",
                new ServingConfiguration(configurationVersion, routes, services, ConnectionLimits.defaults(), keys));
    }

    private void awaitReady() throws IOException {
        // Servers that are registered after the first listing arrive one by one, possibly after the entry is ready.
        for (long startNanos = System.nanoTime(); System.nanoTime() - startNanos < MAX_WAIT.toNanos(); ) {
            if (statusLine(gateway.readinessAddress().getPort(), "/ready").contains(" 200 ")) {
                awaitServers();
                return;
            }
        }
        throw new IOException("The gateway did not become ready; its state:\n" + state());
    }

    /** Waits until this entry knows all registered servers. */
    public void awaitServers() throws IOException {
        for (String id : servers.keySet()) {
            awaitState("\"id\" : \"" + id + "\"");
        }
    }

    /** Waits until the state dump of this entry contains the text. */
    public void awaitState(String text) throws IOException {
        for (long startNanos = System.nanoTime(); System.nanoTime() - startNanos < MAX_WAIT.toNanos(); ) {
            if (state().contains(text)) {
                return;
            }
        }
        throw new IOException("The state does not contain " + text + ":\n" + state());
    }

    /** Reports, as another entry, an order for a role change; returns when the gateway has received the report. */
    public void reportRoleChange(String server, EngineRole role) throws StoreException, IOException {
        ObjectKey own = new ObjectKey(ObjectKind.ENTRY_REGISTRATION, ObjectKey.PLATFORM_NAMESPACE, "entry-under-test");
        ReportSender.sendRoleChange(store.read(own).orElseThrow(), new RoleChange(server, role));
        awaitState("\"changing\" : true");
    }

    /** Returns the store, which can be restored from an older copy. */
    public InMemoryObjectStore store() {
        return store;
    }

    public TestCaller caller() throws IOException {
        return new TestCaller(gateway.callersAddress().getPort());
    }

    /** Sends a caller's GET request and returns the answer. */
    public ReceivedRequest get(String path, String requestId) throws IOException {
        return call(HttpText.head("GET " + path + " HTTP/1.1", "Host: " + HOST, requestIdLine(requestId)));
    }

    /** Sends a caller's request for a generation and returns the answer. */
    public ReceivedRequest generate(String path, String requestId, int promptTokens) throws IOException {
        return call(HttpText.head(
                "POST " + path + " HTTP/1.1",
                "Host: " + HOST,
                requestIdLine(requestId),
                TestProtocols.PROMPT + ": " + promptTokens,
                "Content-Length: 0"));
    }

    /** Sends a caller's request, head and body, on a connection of its own and returns the answer. */
    public ReceivedRequest call(String request) throws IOException {
        try (TestCaller caller = caller()) {
            caller.send(request);
            return caller.readAnswer();
        }
    }

    private static String requestIdLine(String requestId) {
        return TestProtocols.REQUEST_ID + ": " + requestId;
    }

    /** Sends a GET request for a path for operators and returns the status line of the answer. */
    public String statusLine(int port, String path) throws IOException {
        try (TestCaller caller = new TestCaller(port)) {
            caller.send("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
            return caller.readAnswer().line();
        }
    }

    public String metrics() throws IOException {
        return administrationPage("/metrics");
    }

    public String state() throws IOException {
        return administrationPage("/state");
    }

    private String administrationPage(String path) throws IOException {
        try (TestCaller caller = new TestCaller(gateway.administrationAddress().getPort())) {
            caller.send("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
            return caller.readAnswer().body();
        }
    }

    /** Returns the gateway's clocks; moving them does not affect the timers of the event loop. */
    public ShiftableTimeSource time() {
        return time;
    }

    /** Replaces the registration of a plain server by one that says that it is draining; returns once it is known. */
    public void drainServer(String id) throws StoreException, IOException {
        servers.computeIfPresent(id, (key, server) -> server.asDraining());
        ObjectKey key = new ObjectKey(ObjectKind.BACKEND_SERVER, ObjectKey.PLATFORM_NAMESPACE, id);
        store.update(store.read(key).orElseThrow(), "{\"state\":\"draining\"}");
        awaitLogged("\"state\":\"DRAINING\"");
    }

    public TestProtocols protocols() {
        return protocols;
    }

    public Gateway gateway() {
        return gateway;
    }

    /** Waits until a line of the log contains the text, and returns the line. */
    public String awaitLogged(String text) throws IOException {
        return awaitLogged(text, 1);
    }

    /** Waits until the given number of log lines contain the text; returns the last of these lines. */
    public String awaitLogged(String text, int times) throws IOException {
        for (long startNanos = System.nanoTime(); System.nanoTime() - startNanos < MAX_WAIT.toNanos(); ) {
            List<String> found = logged.toString(StandardCharsets.UTF_8)
                    .lines()
                    .filter(line -> line.contains(text))
                    .toList();
            if (found.size() >= times) {
                return found.get(times - 1);
            }
            statusLine(gateway.readinessAddress().getPort(), "/ready");
        }
        throw new IOException("Text not logged " + times + " times: " + text + "; the complete log:\n" + logged);
    }

    @Override
    public void close() throws IOException {
        for (TestGateway other : others) {
            other.close();
        }
        gateway.close();
        for (ScriptedBackend backend : backends) {
            backend.close();
        }
    }

    private final class Decoder implements RegistrationDecoder {
        @Override
        public ServingConfiguration readConfiguration(StoredObject object) {
            return configurations.get(object.key().name());
        }

        @Override
        public BackendServer readServer(StoredObject object) {
            return servers.get(object.key().name());
        }
    }
}
