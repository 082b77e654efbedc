package org.aspenmoorusage.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.engine.EngineRole;
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

/** Servers that announce in their answers that they are draining, while their registration says that they are ready. */
public class ServerDrainTest {
    private static final String SERVICE = "registry";
    private static final String MODEL = "model";
    private static final int REQUESTS = 30;
    private static final int PROMPT_TOKENS = 4000;

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
    public void should_show_that_a_server_has_announced_that_it_is_draining() throws Exception {
        gateway.backend("leaving", SERVICE, request -> plainAnswer(request, true));
        gateway.publish();

        assertTrue(read(gateway, 1).line().contains(" 200 "));

        assertTrue(gateway.awaitLogged("server-drain-announced").contains("\"server\":\"leaving\""));
        assertTrue(gateway.state().contains("\"drainAnnounced\" : true"));
    }

    // Guards against a server that gets requests after it has announced to this entry that it is draining.
    @Test
    public void should_send_a_server_nothing_more_when_it_has_announced_that_it_is_draining() throws Exception {
        ScriptedBackend leaving = gateway.backend("leaving", SERVICE, request -> plainAnswer(request, true));
        gateway.backend("staying", SERVICE, request -> plainAnswer(request, false));
        gateway.publish();
        int sent = 0;
        while (leaving.received().isEmpty()) {
            assertTrue(read(gateway, ++sent).line().contains(" 200 "));
        }

        for (int request = 0; request < REQUESTS; request++) {
            assertTrue(read(gateway, ++sent).line().contains(" 200 "));
        }

        assertEquals(leaving.received().size(), 1);
    }

    // Guards against the answer to a prompt computed elsewhere that is asked of a server that is draining.
    @Test
    public void should_place_the_answer_to_a_computed_prompt_elsewhere_when_an_engine_is_draining() throws Exception {
        gateway.backend("prompts", MODEL, EngineRole.PREFILL, TestGateway.LOCAL_DATA_CENTRE, ServerDrainTest::prefill);
        ScriptedBackend leaving = gateway.backend(
                "leaving", MODEL, EngineRole.DECODE, TestGateway.LOCAL_DATA_CENTRE, request -> stream(request, true));
        gateway.backend(
                "staying", MODEL, EngineRole.DECODE, TestGateway.LOCAL_DATA_CENTRE, request -> stream(request, false));
        gateway.publish();
        int sent = 0;
        while (requestsOfCallers(leaving) == 0) {
            assertTrue(draft(++sent).line().contains(" 200 "));
        }

        for (int request = 0; request < REQUESTS; request++) {
            assertTrue(draft(++sent).line().contains(" 200 "));
        }

        assertEquals(requestsOfCallers(leaving), 1);
    }

    // Guards against callers who are kept waiting for a service that is leaving as a whole.
    @Test
    public void should_refuse_at_once_when_all_servers_of_a_service_are_draining() throws Exception {
        ScriptedBackend leaving = gateway.backend("leaving", SERVICE, request -> plainAnswer(request, true));
        gateway.publish();
        assertTrue(read(gateway, 1).line().contains(" 200 "));

        ReceivedRequest refused = read(gateway, 2);

        assertTrue(refused.line().contains(" 503 "), refused.line());
        assertTrue(refused.header("Retry-After").isPresent());
        assertEquals(leaving.received().size(), 1);
    }

    // Guards against an answer without the announcement that brings a draining server back.
    @Test
    public void should_not_return_to_a_draining_server_when_a_later_answer_does_not_say_so() throws Exception {
        ScriptedBackend leaving = gateway.backend(
                "leaving",
                SERVICE,
                request -> plainAnswer(
                        request, request.header(TestProtocols.REQUEST_ID).equals(Optional.of("r1"))));
        gateway.publish();
        assertTrue(read(gateway, 1).line().contains(" 200 "));

        assertTrue(read(gateway, 2).line().contains(" 503 "));
        assertEquals(leaving.received().size(), 1);
    }

    // Guards against an entry that sends requests to a draining server because only others were told.
    @Test
    public void should_send_a_server_nothing_when_another_entry_reports_that_it_is_draining() throws Exception {
        ScriptedBackend leaving = gateway.backend("leaving", SERVICE, request -> plainAnswer(request, true));
        gateway.publish();
        assertTrue(read(gateway, 1).line().contains(" 200 "));

        try (TestGateway other = gateway.startAnother("entry-other")) {
            assertTrue(other.awaitLogged("server-drain-announced").contains("\"reportedBy\":\"entry-under-test\""));
            assertTrue(read(other, 2).line().contains(" 503 "));
        }

        assertEquals(leaving.received().size(), 1);
    }

    // Guards against a new server process that is given up because an earlier one with its id was draining.
    @Test
    public void should_send_requests_to_a_new_incarnation_when_the_one_before_was_draining() throws Exception {
        ScriptedBackend server = gateway.backend(
                "server",
                SERVICE,
                request -> plainAnswer(
                        request, request.header(TestProtocols.REQUEST_ID).equals(Optional.of("r1"))));
        gateway.publish();
        assertTrue(read(gateway, 1).line().contains(" 200 "));

        gateway.restartServer("server", SERVICE, server.port(), 2);

        assertTrue(read(gateway, 2).line().contains(" 200 "));
        assertFalse(gateway.state().contains("\"drainAnnounced\" : true"));
    }

    private static long requestsOfCallers(ScriptedBackend backend) {
        return backend.received().stream()
                .filter(request -> request.line().startsWith("POST"))
                .count();
    }

    private static ReceivedRequest read(TestGateway entry, int number) throws IOException {
        return entry.get("/read/a", "r" + number);
    }

    private ReceivedRequest draft(int number) throws IOException {
        return gateway.generate("/draft/a", "d" + number, PROMPT_TOKENS);
    }

    private static Reply plainAnswer(ReceivedRequest request, boolean draining) {
        return answer(request, "ok", draining);
    }

    private static Reply prefill(ReceivedRequest request) {
        return TestAnswers.ok(request, "h1");
    }

    private static Reply stream(ReceivedRequest request, boolean draining) {
        return answer(request, "id: 1\ndata: x\n\n", draining);
    }

    private static Reply answer(ReceivedRequest request, String body, boolean draining) {
        return TestAnswers.ok(request, body, draining ? List.of(TestProtocols.DRAINING + ": yes") : List.of());
    }
}
