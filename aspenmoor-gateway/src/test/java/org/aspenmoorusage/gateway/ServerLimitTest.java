package org.aspenmoorusage.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
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

public class ServerLimitTest {
    private static final String SERVICE = "registry";
    private static final int REQUESTS = 20;
    private static final String NO_LIMIT = "";
    private static final String LOW_LIMIT = "0.001";

    private TestGateway gateway;

    @BeforeMethod
    public void setUp() throws Exception {
        gateway = new TestGateway();
        gateway.route("/read/", RetryRule.REPEATABLE, false, 2, SERVICE);
    }

    @AfterMethod
    public void tearDown() throws IOException {
        gateway.close();
    }

    // Guards against a server that gets as many requests after it has stated a limit as before.
    @Test
    public void should_place_requests_elsewhere_when_a_server_states_a_limit() throws Exception {
        ScriptedBackend limited = gateway.backend("limited", SERVICE, request -> answer(request, LOW_LIMIT));
        ScriptedBackend free = gateway.backend("free", SERVICE, request -> answer(request, NO_LIMIT));
        gateway.publish();
        int sent = 0;
        while (limited.received().isEmpty()) {
            assertTrue(call(++sent).line().contains(" 200 "));
        }

        for (int request = 0; request < REQUESTS; request++) {
            assertTrue(call(++sent).line().contains(" 200 "));
        }

        int atLimited = limited.received().size();
        assertTrue(atLimited <= REQUESTS / 4, "the limited server got " + atLimited);
        assertEquals(atLimited + free.received().size(), sent);
        assertTrue(gateway.metrics().contains("aspenmoor_server_request_limit{server=\"limited\"} 0.001"));
        assertTrue(gateway.metrics().contains("aspenmoor_server_request_share{server=\"limited\"}"));
        assertTrue(gateway.metrics().contains("aspenmoor_server_limit_entries{server=\"limited\"}"));
        assertTrue(gateway.metrics().contains("aspenmoor_server_limit_claims{server=\"limited\"} 0.0"));
        assertTrue(gateway.state().contains("requestsPerSecondLimit"));
        assertTrue(gateway.state().contains("requestsPerSecondShare"));
    }

    // Guards against a caller who waits for a server that takes no more requests.
    @Test
    public void should_refuse_at_once_with_a_time_to_retry_when_the_limits_of_all_servers_are_used_up()
            throws Exception {
        gateway.backend("limited", SERVICE, request -> answer(request, LOW_LIMIT));
        gateway.publish();
        int sent = 1;
        ReceivedRequest refused = call(sent);
        while (refused.line().contains(" 200 ") && sent < REQUESTS) {
            refused = call(++sent);
        }

        assertTrue(refused.line().contains(" 503 "), refused.line());
        assertTrue(refused.header("Retry-After").isPresent());
        assertTrue(gateway.awaitLogged("are used up").contains("NOT_RUN"));
    }

    // Guards against the statement of a server that runs at the address of another one, whose id it does not have.
    @Test
    public void should_ignore_the_limit_in_an_answer_of_another_server_at_the_address() throws Exception {
        ScriptedBackend other = gateway.backend(
                "gone",
                SERVICE,
                request -> Reply.of(HttpText.head(
                        "HTTP/1.1 421 Misdirected",
                        "Test-Id: " + request.header(TestProtocols.REQUEST_ID).orElse(""),
                        TestProtocols.LIMIT + ": " + LOW_LIMIT,
                        "Content-Length: 0")));
        gateway.backend("free", SERVICE, request -> answer(request, NO_LIMIT));
        gateway.publish();
        int sent = 0;
        while (other.received().isEmpty()) {
            assertTrue(call(++sent).line().contains(" 200 "));
        }

        assertFalse(gateway.state().contains("requestsPerSecondLimit"));
    }

    private ReceivedRequest call(int number) throws IOException {
        return gateway.get("/read/a", "r" + number);
    }

    private static Reply answer(ReceivedRequest request, String limit) {
        List<String> headers = limit.equals(NO_LIMIT) ? List.of() : List.of(TestProtocols.LIMIT + ": " + limit);
        return TestAnswers.ok(request, "ok", headers);
    }
}
