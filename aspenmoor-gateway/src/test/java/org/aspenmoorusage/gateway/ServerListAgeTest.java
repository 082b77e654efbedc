package org.aspenmoorusage.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.gateway.settings.StoreBounds;
import org.aspenmoor.internal.gateway.standin.HttpText;
import org.aspenmoor.internal.gateway.standin.Latches;
import org.aspenmoor.internal.gateway.standin.ObservedStore;
import org.aspenmoor.internal.gateway.standin.ReceivedRequest;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend.Reply;
import org.aspenmoor.internal.gateway.standin.TestAnswers;
import org.aspenmoor.internal.gateway.standin.TestCaller;
import org.aspenmoor.internal.gateway.standin.TestGateway;
import org.aspenmoor.internal.gateway.standin.TestProtocols;
import org.aspenmoor.internal.serving.RetryRule;
import org.aspenmoor.internal.store.ObjectStore;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Requests at an entry whose list of servers is too old to send by it. */
public class ServerListAgeTest {
    private static final Duration BOUND = Duration.ofSeconds(3);
    private static final Duration TOO_LONG = Duration.ofMillis(2900);
    private static final int PROMPT_TOKENS = 4000;

    private ObservedStore store;
    private TestGateway gateway;

    @BeforeMethod
    public void setUp() throws Exception {
        gateway = new TestGateway(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                new StoreBounds(Optional.empty(), Optional.of(BOUND)),
                this::observe);
        gateway.route("/read/", RetryRule.REPEATABLE, false, 2, "registry");
        gateway.route("/draft/", RetryRule.AT_MOST_ONCE, true, 1, "model");
    }

    private ObservedStore observe(ObjectStore observed) {
        store = new ObservedStore(observed, () -> {});
        return store;
    }

    @AfterMethod
    public void tearDown() throws Exception {
        gateway.close();
    }

    // Guards against a request that reaches a server which has left, because the entry was late to learn of it.
    @Test
    public void should_not_send_a_request_to_a_server_that_has_left_when_the_list_was_too_old() throws Exception {
        ScriptedBackend leaving = gateway.backend("leaving", "registry", ServerListAgeTest::plainAnswer);
        publish();
        assertTrue(gateway.get("/read/a", "r1").line().contains(" 200 "));
        gateway.time().advance(TOO_LONG);

        try (TestCaller caller = gateway.caller()) {
            caller.send(HttpText.head("GET /read/a HTTP/1.1", "Host: " + TestGateway.HOST, requestId("r2")));
            gateway.awaitLogged("server-list-outdated");
            gateway.drainServer("leaving");
            store.confirmServers(gateway.time().monotonicNanos());

            assertTrue(caller.readAnswer().line().contains(" 503 "));
        }
        assertEquals(leaving.received().size(), 1);
    }

    // Guards against the answer to a computed prompt that reaches an engine which has left meanwhile.
    @Test
    public void should_not_send_a_computed_prompt_to_an_engine_that_has_left_when_the_list_has_become_too_old()
            throws Exception {
        CountDownLatch prompted = new CountDownLatch(1);
        CountDownLatch mayCompute = new CountDownLatch(1);
        gateway.backend("prompts", "model", EngineRole.PREFILL, TestGateway.LOCAL_DATA_CENTRE, request -> {
            prompted.countDown();
            Latches.await(mayCompute);
            return TestAnswers.ok(request, "h1");
        });
        ScriptedBackend leaving = gateway.backend(
                "leaving", "model", EngineRole.DECODE, TestGateway.LOCAL_DATA_CENTRE, TestAnswers::oneEvent);
        publish();

        try (TestCaller caller = gateway.caller()) {
            caller.send(HttpText.head(
                    "POST /draft/a HTTP/1.1",
                    "Host: " + TestGateway.HOST,
                    requestId("r1"),
                    TestProtocols.PROMPT + ": " + PROMPT_TOKENS,
                    "Content-Length: 0"));
            Latches.await(prompted);
            gateway.time().advance(TOO_LONG);
            mayCompute.countDown();
            gateway.awaitLogged("server-list-outdated");
            gateway.drainServer("leaving");
            store.confirmServers(gateway.time().monotonicNanos());

            assertTrue(caller.readAnswer().line().contains(" 503 "));
        }
        assertEquals(
                leaving.received().stream()
                        .filter(received -> received.line().startsWith("POST"))
                        .count(),
                0);
    }

    @Test
    public void should_answer_a_request_when_the_list_is_confirmed_while_it_waits() throws Exception {
        gateway.backend("staying", "registry", ServerListAgeTest::plainAnswer);
        publish();
        gateway.time().advance(TOO_LONG);

        try (TestCaller caller = gateway.caller()) {
            caller.send(HttpText.head("GET /read/a HTTP/1.1", "Host: " + TestGateway.HOST, requestId("r1")));
            gateway.awaitLogged("server-list-outdated");
            store.confirmServers(gateway.time().monotonicNanos());

            assertTrue(caller.readAnswer().line().contains(" 200 "));
        }
    }

    // Guards against callers who are kept waiting until their deadline at an entry that learns nothing.
    @Test
    public void should_refuse_a_request_when_the_list_is_not_confirmed_in_time() throws Exception {
        ScriptedBackend server = gateway.backend("one", "registry", ServerListAgeTest::plainAnswer);
        publish();
        gateway.time().advance(TOO_LONG);

        try (TestCaller caller = gateway.caller()) {
            caller.send(HttpText.head("GET /read/a HTTP/1.1", "Host: " + TestGateway.HOST, requestId("r1")));
            gateway.awaitLogged("server-list-outdated");
            gateway.time().advance(Duration.ofSeconds(1));

            ReceivedRequest refusal = caller.readAnswer();
            assertTrue(refusal.line().contains(" 503 "));
            assertTrue(refusal.header("Retry-After").isPresent());
        }
        assertEquals(server.received().size(), 0);
    }

    // Guards against a store that takes the service with it when it is unavailable.
    @Test
    public void should_go_on_serving_by_an_old_list_when_the_store_is_unavailable() throws Exception {
        gateway.backend("one", "registry", ServerListAgeTest::plainAnswer);
        publish();
        store.interruptServers();
        gateway.awaitLogged("store-lost");
        gateway.time().advance(BOUND);

        assertTrue(gateway.get("/read/a", "r1").line().contains(" 200 "));
    }

    /** Publishes the configuration and has the list of servers confirmed. */
    private void publish() throws Exception {
        gateway.publish();
        gateway.time().freeze();
        store.confirmServers(gateway.time().monotonicNanos());
    }

    private static String requestId(String id) {
        return TestProtocols.REQUEST_ID + ": " + id;
    }

    private static Reply plainAnswer(ReceivedRequest request) {
        return TestAnswers.ok(request, "ok");
    }
}
