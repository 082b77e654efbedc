package org.aspenmoor.internal.gateway.standin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.gateway.Gateway;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.gateway.membership.RegistrationDecoder;
import org.aspenmoor.internal.gateway.peers.ReportSender;
import org.aspenmoor.internal.gateway.settings.GatewaySettings;
import org.aspenmoor.internal.gateway.settings.RepeatSettings;
import org.aspenmoor.internal.routing.EngineSpeed;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.BackendState;
import org.aspenmoor.internal.serving.ConnectionLimits;
import org.aspenmoor.internal.serving.GenerationTraits;
import org.aspenmoor.internal.serving.PlacementSettings;
import org.aspenmoor.internal.serving.RetryRule;
import org.aspenmoor.internal.serving.RoleChange;
import org.aspenmoor.internal.serving.Route;
import org.aspenmoor.internal.serving.RouteTarget;
import org.aspenmoor.internal.serving.ServiceTraits;
import org.aspenmoor.internal.serving.ServingConfiguration;
import org.aspenmoor.internal.store.InMemoryObjectStore;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.store.client.StoreSettings;
import org.aspenmoor.internal.time.SystemTimeSource;

/** A gateway on free ports of the loopback address, with a store in memory. */
public final class TestGateway implements AutoCloseable {
    public static final String HOST = "house.example";
    public static final String HERE = "here";

    private static final Duration TIMEOUT = Duration.ofSeconds(15);
    /** Only bounds how long a failing test takes; nothing is judged by it. */
    private static final Duration PATIENCE = Duration.ofSeconds(60);

    private final InMemoryObjectStore store;
    private final Map<String, ServingConfiguration> configurations;
    private final Map<String, BackendServer> servers;
    private final List<Route> routes = new ArrayList<>();
    private final List<ServiceTraits> services = new ArrayList<>();
    private final List<ScriptedBackend> backends = new ArrayList<>();
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final Gateway gateway;
    private final TestProtocols protocols = new TestProtocols();

    public TestGateway() throws AspenmoorException {
        this("entry-under-test", new InMemoryObjectStore(), new ConcurrentHashMap<>(), new ConcurrentHashMap<>());
    }

    private TestGateway(
            String process,
            InMemoryObjectStore store,
            Map<String, ServingConfiguration> configurations,
            Map<String, BackendServer> servers)
            throws AspenmoorException {
        this.store = store;
        this.configurations = configurations;
        this.servers = servers;
        InetSocketAddress free = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        PlacementSettings placement = new PlacementSettings(HERE, EngineSpeed.defaults(), 0.5, 0);
        GatewaySettings settings = new GatewaySettings(
                process,
                free,
                free,
                "/ready",
                free,
                free,
                URI.create("http://127.0.0.1/"),
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                Duration.ofSeconds(8),
                8 * 1024 * 1024,
                placement,
                new RepeatSettings(1, 100, Duration.ofSeconds(10), 1));
        SystemTimeSource time = new SystemTimeSource();
        DecisionLog log = new DecisionLog(time, process, new PrintStream(logged, true, StandardCharsets.UTF_8));
        log.start();
        this.gateway = new Gateway(settings, protocols, protocols, time, new Random(1), log);
        gateway.start(store, StoreSettings.defaults(), new Decoder());
    }

    /** Starts another entry of the same fleet, and returns once it serves requests. */
    public TestGateway another(String process) throws AspenmoorException, IOException {
        TestGateway other = new TestGateway(process, store, configurations, servers);
        other.awaitReady();
        return other;
    }

    /** Adds a route to a service; it is in force after {@link #publish}. */
    public TestGateway route(String path, RetryRule rule, boolean streamed, int mostBackends, String service) {
        return route(path, rule, streamed, mostBackends, service, TIMEOUT);
    }

    /** Adds a route whose callers leave after a silence; it is in force after {@link #publish}. */
    public TestGateway route(
            String path, RetryRule rule, boolean streamed, int mostBackends, String service, Duration silence) {
        routes.add(new Route(
                "route-" + path,
                HOST,
                path,
                rule,
                streamed,
                TIMEOUT,
                Duration.ofSeconds(2),
                silence,
                mostBackends,
                0,
                List.of(new RouteTarget(service, 1))));
        return this;
    }

    /** Bounds the connections that one server of a plain service accepts; it is in force after {@link #publish}. */
    public TestGateway connectionLimit(String service, int mostConnections) {
        services.add(new ServiceTraits(service, mostConnections, Optional.empty()));
        return this;
    }

    /** Starts and registers a plain server that answers by a script; it ends with the gateway. */
    public ScriptedBackend backend(String id, String service, ScriptedBackend.Script script)
            throws IOException, StoreException {
        return backend(id, service, EngineRole.WHOLE, HERE, script);
    }

    /** Starts and registers a server that answers by a script; it ends with the gateway. */
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
        return server(id, service, port, role, HERE);
    }

    /** Registers a server in a data centre; this entry stands in {@link #HERE}. */
    public TestGateway server(String id, String service, int port, EngineRole role, String dataCentre)
            throws StoreException {
        BackendServer server =
                new BackendServer(id, 1, service, "127.0.0.1", port, dataCentre, 4, BackendState.READY, role);
        servers.put(id, server);
        store.create(new ObjectKey(ObjectKind.BACKEND_SERVER, ObjectKey.PLATFORM_NAMESPACE, id), "{}");
        return this;
    }

    /** Puts the routes in force and waits until requests are served. */
    public void publish() throws StoreException, IOException {
        services.add(new ServiceTraits("model", 100, Optional.of(new GenerationTraits(100_000))));
        ServingConfiguration configuration = new ServingConfiguration(7, routes, services, ConnectionLimits.defaults());
        configurations.put("main", configuration);
        store.create(new ObjectKey(ObjectKind.SERVING_CONFIGURATION, ObjectKey.PLATFORM_NAMESPACE, "main"), "{}");
        awaitReady();
    }

    private void awaitReady() throws IOException {
        // Servers that were registered after the first listing come one by one, perhaps after the entry is ready.
        for (long begun = System.nanoTime(); System.nanoTime() - begun < PATIENCE.toNanos(); ) {
            boolean ready =
                    statusOf(gateway.readinessAddress().getPort(), "/ready").contains(" 200 ");
            String state = state();
            if (ready && servers.keySet().stream().allMatch(id -> state.contains("\"id\" : \"" + id + "\""))) {
                return;
            }
        }
        throw new IOException("The gateway did not become ready for all servers; it believes:\n" + state());
    }

    /** Lets another entry tell that it has ordered a server to take another role; returns when the gateway knows. */
    public void roleChanging(String server, EngineRole role) throws StoreException, IOException {
        ObjectKey own = new ObjectKey(ObjectKind.ENTRY_REGISTRATION, ObjectKey.PLATFORM_NAMESPACE, "entry-under-test");
        ReportSender.tell(store.read(own).orElseThrow(), new RoleChange(server, role));
        for (long begun = System.nanoTime(); System.nanoTime() - begun < PATIENCE.toNanos(); ) {
            if (state().contains("\"changing\" : true")) {
                return;
            }
        }
        throw new IOException("The gateway did not hear of the change; it believes:\n" + state());
    }

    /** Returns the store, which can come back from an older copy. */
    public InMemoryObjectStore store() {
        return store;
    }

    public TestCaller caller() throws IOException {
        return new TestCaller(gateway.callersAddress().getPort());
    }

    /** Returns the first line of the answer to a GET of a page for operators. */
    public String statusOf(int port, String path) throws IOException {
        try (TestCaller question = new TestCaller(port)) {
            question.send("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
            return question.answer().line();
        }
    }

    public String metrics() throws IOException {
        return administrationPage("/metrics");
    }

    public String state() throws IOException {
        return administrationPage("/state");
    }

    private String administrationPage(String path) throws IOException {
        try (TestCaller question =
                new TestCaller(gateway.administrationAddress().getPort())) {
            question.send("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
            return question.answer().body();
        }
    }

    public TestProtocols protocols() {
        return protocols;
    }

    public Gateway gateway() {
        return gateway;
    }

    /** Waits until a line of the log contains the text. */
    public String awaitLogged(String text) throws IOException {
        return awaitLogged(text, 1);
    }

    /** Waits until so many lines of the log contain the text; returns the last of them. */
    public String awaitLogged(String text, int times) throws IOException {
        for (long begun = System.nanoTime(); System.nanoTime() - begun < PATIENCE.toNanos(); ) {
            List<String> found = logged.toString(StandardCharsets.UTF_8)
                    .lines()
                    .filter(line -> line.contains(text))
                    .toList();
            if (found.size() >= times) {
                return found.get(times - 1);
            }
            statusOf(gateway.readinessAddress().getPort(), "/ready");
        }
        throw new IOException("Not logged " + times + " times: " + text + "; all that was:\n" + logged);
    }

    @Override
    public void close() throws IOException {
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
