package org.aspenmoorusage.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.gateway.standin.HttpText;
import org.aspenmoor.internal.gateway.standin.ReceivedRequest;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend.Reply;
import org.aspenmoor.internal.gateway.standin.TestAnswers;
import org.aspenmoor.internal.gateway.standin.TestGateway;
import org.aspenmoor.internal.gateway.standin.TestProtocols;
import org.aspenmoor.internal.serving.RetryRule;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Servers that turn requests away and ask the entry for a pause; the pause is longer than any test takes. */
public class ServerBackoffTest {
    private static final String SERVICE = "registry";
    private static final String MODEL = "model";
    private static final int REQUESTS = 30;
    private static final int PROMPT_TOKENS = 4000;
    private static final String LONG_PAUSE_MILLISECONDS = "3600000";

    private TestGateway gateway;

    @BeforeMethod
    public void setUp() throws Exception {
        gateway = new TestGateway();
        gateway.route("/read/", RetryRule.REPEATABLE, false, 2, SERVICE);
        gateway.route("/draft/", RetryRule.AT_MOST_ONCE, true, 1, MODEL);
    }

    @AfterMethod
    public void tearDown() throws IOException {
        gateway.close();
    }

    @Test
    public void should_show_that_a_server_has_asked_for_a_pause() throws Exception {
        gateway.backend("shedding", SERVICE, ServerBackoffTest::turnAway);
        gateway.publish();

        assertTrue(read(1).line().contains(" 503 "));

        assertTrue(gateway.awaitLogged("server-backoff").contains("\"pauseMs\":" + LONG_PAUSE_MILLISECONDS));
        assertTrue(gateway.metrics().contains("aspenmoor_server_backoff_seconds{server=\"shedding\"}"));
    }

    // Guards against a server that gets requests from an entry that it has asked to stay away.
    @Test
    public void should_send_a_server_nothing_more_while_it_wants_a_pause() throws Exception {
        ScriptedBackend shedding = gateway.backend("shedding", SERVICE, ServerBackoffTest::turnAway);
        gateway.backend("other", SERVICE, ServerBackoffTest::plainAnswer);
        gateway.publish();
        int sent = 0;
        while (shedding.received().isEmpty()) {
            assertTrue(read(++sent).line().contains(" 200 "));
        }

        for (int request = 0; request < REQUESTS; request++) {
            assertTrue(read(++sent).line().contains(" 200 "));
        }

        assertEquals(shedding.received().size(), 1);
    }

    // Guards against callers who are refused, or wait, after their request has been to a server that wants a pause.
    @Test
    public void should_refuse_at_once_with_the_end_of_the_pause_when_all_servers_want_one() throws Exception {
        ScriptedBackend shedding = gateway.backend("shedding", SERVICE, ServerBackoffTest::turnAway);
        gateway.publish();
        assertTrue(read(1).line().contains(" 503 "));

        ReceivedRequest refused = read(2);

        assertTrue(refused.line().contains(" 503 "), refused.line());
        double seconds = Double.parseDouble(refused.header("Retry-After").orElseThrow());
        assertTrue(seconds > 3000, "the caller is told to come back after " + seconds + " s");
        assertEquals(shedding.received().size(), 1);
    }

    // Guards against a prompt that is computed again because the engine that was to answer wants a pause.
    @Test
    public void should_hand_a_computed_prompt_to_another_engine_when_the_first_one_wants_a_pause() throws Exception {
        ScriptedBackend prompts = engine("prompts", EngineRole.PREFILL, ServerBackoffTest::prefill);
        ScriptedBackend shedding = engine("shedding", EngineRole.DECODE, ServerBackoffTest::turnAway);
        ScriptedBackend other = engine("other", EngineRole.DECODE, ServerBackoffTest::stream);
        gateway.publish();
        int sent = 0;
        while (requestsOfCallers(shedding) == 0) {
            assertTrue(draft(++sent).line().contains(" 200 "));
        }

        for (int request = 0; request < REQUESTS; request++) {
            assertTrue(draft(++sent).line().contains(" 200 "));
        }

        assertEquals(requestsOfCallers(shedding), 1);
        assertEquals(requestsOfCallers(other), sent);
        String turnedAway = shedding.received().stream()
                .flatMap(request -> request.header(TestProtocols.CACHE_SOURCE).stream()
                        .flatMap(source -> request.header(TestProtocols.REQUEST_ID).stream()))
                .findFirst()
                .orElseThrow();
        assertEquals(requests(prompts, turnedAway).size(), 1);
        assertEquals(requests(other, turnedAway).getFirst().header(TestProtocols.CACHE_SOURCE), Optional.of("h1"));
    }

    // Guards against prompts that are sent to an engine that wants a pause, or are refused because of it.
    @Test
    public void should_compute_prompts_elsewhere_while_an_engine_wants_a_pause() throws Exception {
        ScriptedBackend shedding = engine("shedding", EngineRole.PREFILL, ServerBackoffTest::turnAway);
        engine("prompts", EngineRole.PREFILL, ServerBackoffTest::prefill);
        engine("answers", EngineRole.DECODE, ServerBackoffTest::stream);
        gateway.publish();

        for (int sent = 1; sent <= REQUESTS; sent++) {
            assertTrue(draft(sent).line().contains(" 200 "));
        }

        assertTrue(requestsOfCallers(shedding) <= 1, "the engine got " + requestsOfCallers(shedding));
    }

    // Guards against callers who are refused because a prompt that was turned away used up the retry budget twice.
    @Test
    public void should_take_one_retry_when_a_prompt_is_turned_away_and_computed_elsewhere() throws Exception {
        AtomicBoolean turnedAway = new AtomicBoolean();
        ScriptedBackend.Script first =
                request -> request.line().startsWith("POST") && turnedAway.compareAndSet(false, true)
                        ? turnAway(request)
                        : prefill(request);
        engine("prompts", EngineRole.PREFILL, first);
        engine("prompts-too", EngineRole.PREFILL, first);
        engine("answers", EngineRole.DECODE, ServerBackoffTest::stream);
        gateway.publish();

        assertTrue(draft(1).line().contains(" 200 "));

        assertTrue(turnedAway.get());
        assertTrue(
                gateway.metrics().contains("aspenmoor_repeats_total{granted=\"true\",service=\"model\"} 1.0"),
                gateway.metrics());
    }

    private ScriptedBackend engine(String id, EngineRole role, ScriptedBackend.Script script) throws Exception {
        return gateway.backend(id, MODEL, role, TestGateway.LOCAL_DATA_CENTRE, script);
    }

    private static List<ReceivedRequest> requests(ScriptedBackend backend, String id) {
        return backend.received().stream()
                .filter(request -> request.header(TestProtocols.REQUEST_ID).equals(Optional.of(id)))
                .toList();
    }

    private static long requestsOfCallers(ScriptedBackend backend) {
        return backend.received().stream()
                .filter(request -> request.line().startsWith("POST"))
                .count();
    }

    private ReceivedRequest read(int number) throws IOException {
        return gateway.get("/read/a", "r" + number);
    }

    private ReceivedRequest draft(int number) throws IOException {
        return gateway.generate("/draft/a", "d" + number, PROMPT_TOKENS);
    }

    private static Reply turnAway(ReceivedRequest request) {
        if (request.line().contains("/cache")) {
            return Reply.of(HttpText.head("HTTP/1.1 200 OK", "Content-Length: 0"));
        }
        return Reply.of(HttpText.head(
                "HTTP/1.1 503 Service Unavailable",
                "Test-Id: " + request.header(TestProtocols.REQUEST_ID).orElse(""),
                TestProtocols.NOT_EXECUTED + ": yes",
                TestProtocols.BACKOFF_MILLISECONDS + ": " + LONG_PAUSE_MILLISECONDS,
                "Content-Length: 0"));
    }

    private static Reply plainAnswer(ReceivedRequest request) {
        return TestAnswers.ok(request, "ok");
    }

    private static Reply prefill(ReceivedRequest request) {
        return TestAnswers.ok(request, "h1");
    }

    private static Reply stream(ReceivedRequest request) {
        return TestAnswers.ok(request, "id: 1\ndata: x\n\n");
    }
}
