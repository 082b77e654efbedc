package org.aspenmoorusage.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.gateway.standin.HttpText;
import org.aspenmoor.internal.gateway.standin.Latches;
import org.aspenmoor.internal.gateway.standin.ReceivedRequest;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend.Reply;
import org.aspenmoor.internal.gateway.standin.TestCaller;
import org.aspenmoor.internal.gateway.standin.TestGateway;
import org.aspenmoor.internal.gateway.standin.TestProtocols;
import org.aspenmoor.internal.organisation.ApiKey;
import org.aspenmoor.internal.organisation.Organisation;
import org.aspenmoor.internal.organisation.OrganisationKeys;
import org.aspenmoor.internal.serving.RetryRule;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class OrganisationKeyTest {
    private static final String SERVICE = "registry";
    private static final String KEY = "secret-of-house";
    private static final List<OrganisationKeys> WITH_KEY = List.of(new OrganisationKeys(
            new Organisation("house", Optional.of(4)), List.of(new ApiKey(KEY), new ApiKey("secret-too"))));
    private static final List<OrganisationKeys> WITHOUT_KEY =
            List.of(new OrganisationKeys(new Organisation("house", Optional.of(4)), List.of(new ApiKey("secret-too"))));

    private TestGateway gateway;

    @BeforeMethod
    public void setUp() throws Exception {
        gateway = new TestGateway();
        gateway.organisations(WITH_KEY);
        gateway.route("/read/", RetryRule.REPEATABLE, false, 2, SERVICE);
        gateway.route("/stream/", RetryRule.AT_MOST_ONCE, true, 1, "model");
        gateway.openRoute("/open/", SERVICE);
    }

    @AfterMethod
    public void tearDown() throws IOException {
        gateway.close();
    }

    @Test
    public void should_send_organisation_and_its_priority_instead_of_key_when_key_is_valid() throws Exception {
        ScriptedBackend backend = backend("one", OrganisationKeyTest::answer);
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(request("/read/a", "r1", KEY));

            assertEquals(caller.readAnswer().line(), "HTTP/1.1 200 OK");
        }
        ReceivedRequest received = backend.received().getFirst();
        assertEquals(received.header(TestProtocols.ORGANISATION), Optional.of("house"));
        assertEquals(received.header(TestProtocols.PRIORITY), Optional.of("4"));
        assertTrue(received.header(TestProtocols.KEY).isEmpty());
    }

    @Test
    public void should_refuse_without_run_and_without_naming_key_when_key_is_not_valid() throws Exception {
        ScriptedBackend backend = backend("one", OrganisationKeyTest::answer);
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(request("/read/a", "r1", "secret-of-nobody"));
            ReceivedRequest unknown = caller.readAnswer();
            caller.send(HttpText.head("GET /read/a HTTP/1.1", "Host: house.example", "Test-Id: r2"));
            ReceivedRequest missing = caller.readAnswer();

            assertEquals(unknown.line(), "HTTP/1.1 401 Unauthorized");
            assertEquals(unknown.header("WWW-Authenticate"), Optional.of("Bearer"));
            assertFalse(unknown.body().contains("secret-of-nobody"));
            assertEquals(missing.line(), "HTTP/1.1 401 Unauthorized");
        }
        assertTrue(backend.received().isEmpty());
        assertFalse(gateway.awaitLogged("\"request\":\"r1\"").contains("secret"));
        assertFalse(gateway.state().contains("secret"));
        assertFalse(gateway.metrics().contains("secret"));
    }

    @Test
    public void should_answer_not_found_before_it_looks_at_the_key_when_no_route_matches() throws Exception {
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(request("/nowhere/", "r1", "secret-of-nobody"));

            assertEquals(caller.readAnswer().line(), "HTTP/1.1 404 Not Found");
        }
    }

    @Test
    public void should_serve_open_route_without_key() throws Exception {
        ScriptedBackend backend = backend("one", OrganisationKeyTest::answer);
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(HttpText.head("GET /open/a HTTP/1.1", "Host: house.example", "Test-Id: r1"));

            assertEquals(caller.readAnswer().line(), "HTTP/1.1 200 OK");
        }
        assertTrue(
                backend.received().getFirst().header(TestProtocols.ORGANISATION).isEmpty());
    }

    // A key is removed while its caller keeps a connection open. If the key were only looked up once per connection,
    // the caller would be served for hours.
    @Test
    public void should_refuse_next_request_of_same_connection_when_key_was_removed() throws Exception {
        backend("one", OrganisationKeyTest::answer);
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(request("/read/a", "r1", KEY));
            assertEquals(caller.readAnswer().line(), "HTTP/1.1 200 OK");

            gateway.changeOrganisations(WITHOUT_KEY);
            caller.send(request("/read/a", "r2", KEY));

            assertEquals(caller.readAnswer().line(), "HTTP/1.1 401 Unauthorized");
        }
    }

    // The first server states that it has not run the request. Meanwhile the key was removed, so the second server must
    // not get it.
    @Test
    public void should_not_try_another_server_when_key_was_removed_meanwhile() throws Exception {
        CountDownLatch keyRemoved = new CountDownLatch(1);
        ScriptedBackend.Script refuse = request -> {
            Latches.await(keyRemoved);
            return Reply.of(HttpText.head(
                    "HTTP/1.1 503 Service Unavailable",
                    "Test-Id: r1",
                    TestProtocols.NOT_EXECUTED + ": 1",
                    "Content-Length: 0"));
        };
        ScriptedBackend first = backend("one", refuse);
        ScriptedBackend second = backend("two", refuse);
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(request("/read/a", "r1", KEY));
            gateway.awaitLogged("\"event\":\"configuration-in-force\"");
            awaitFirstRequest(first, second);
            gateway.changeOrganisations(WITHOUT_KEY);
            keyRemoved.countDown();

            assertEquals(caller.readAnswer().line(), "HTTP/1.1 401 Unauthorized");
        }
        assertEquals(first.received().size() + second.received().size(), 1);
    }

    // The key is removed between the prefill, which runs nothing, and the handoff to the engine that would answer.
    @Test
    public void should_not_hand_off_prompt_when_key_was_removed_meanwhile() throws Exception {
        CountDownLatch keyRemoved = new CountDownLatch(1);
        ScriptedBackend prefill =
                gateway.backend("prefill", "model", EngineRole.PREFILL, TestGateway.LOCAL_DATA_CENTRE, request -> {
                    Latches.await(keyRemoved);
                    return Reply.of(HttpText.head("HTTP/1.1 200 OK", "Test-Id: r1", "Content-Length: 2") + "h1");
                });
        ScriptedBackend decode = gateway.backend(
                "decode", "model", EngineRole.DECODE, TestGateway.LOCAL_DATA_CENTRE, request -> Reply.thenClose(""));
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(HttpText.head(
                    "POST /stream/a HTTP/1.1",
                    "Host: house.example",
                    "Test-Id: r1",
                    TestProtocols.PROMPT + ": 20000",
                    TestProtocols.KEY + ": " + KEY,
                    "Content-Length: 0"));
            while (prefill.received().stream()
                    .noneMatch(request -> request.line().startsWith("POST"))) {
                prefill.awaitRequest();
            }
            gateway.changeOrganisations(WITHOUT_KEY);
            keyRemoved.countDown();

            assertEquals(caller.readAnswer().line(), "HTTP/1.1 401 Unauthorized");
        }
        ReceivedRequest sent = prefill.received().stream()
                .filter(request -> request.line().startsWith("POST"))
                .findFirst()
                .orElseThrow();
        assertEquals(sent.header(TestProtocols.ORGANISATION), Optional.of("house"));
        assertTrue(sent.header(TestProtocols.KEY).isEmpty());
        assertTrue(
                decode.received().stream().noneMatch(request -> request.line().startsWith("POST")));
    }

    private static void awaitFirstRequest(ScriptedBackend first, ScriptedBackend second) {
        while (first.received().isEmpty() && second.received().isEmpty()) {
            Thread.onSpinWait();
        }
    }

    private ScriptedBackend backend(String id, ScriptedBackend.Script script) throws Exception {
        return gateway.backend(id, SERVICE, script);
    }

    private static Reply answer(ReceivedRequest request) {
        String id = request.header("Test-Id").orElse("");
        return Reply.of(HttpText.head(
                        "HTTP/1.1 200 OK", "Test-Id: " + id, TestProtocols.SIGNED + ": by one", "Content-Length: 2")
                + "ok");
    }

    private static String request(String path, String id, String key) {
        return HttpText.head(
                "GET " + path + " HTTP/1.1", "Host: house.example", "Test-Id: " + id, TestProtocols.KEY + ": " + key);
    }
}
