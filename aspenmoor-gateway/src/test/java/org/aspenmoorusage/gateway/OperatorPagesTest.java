package org.aspenmoorusage.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.aspenmoor.internal.gateway.standin.Latches;
import org.aspenmoor.internal.gateway.standin.ReceivedRequest;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend.Reply;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend.Script;
import org.aspenmoor.internal.gateway.standin.TestCaller;
import org.aspenmoor.internal.gateway.standin.TestGateway;
import org.aspenmoor.internal.gateway.standin.TestProtocols;
import org.aspenmoor.internal.serving.RetryRule;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The metrics and state pages of an entry, and its connection limit. */
public class OperatorPagesTest {
    private static final String SERVICE = "registry";

    private TestGateway gateway;

    @BeforeMethod
    public void setUp() throws Exception {
        gateway = new TestGateway();
        gateway.route("/book/", RetryRule.AT_MOST_ONCE, false, 1, SERVICE);
        gateway.route("/read/", RetryRule.REPEATABLE, false, 2, SERVICE);
    }

    @AfterMethod
    public void tearDown() throws IOException {
        gateway.close();
    }

    @Test
    public void should_count_request_by_outcome_when_it_ends() throws Exception {
        backend("one", OperatorPagesTest::answer);
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(readRequest("r1"));
            caller.readAnswer();
        }

        assertTrue(gateway.metrics()
                .contains("aspenmoor_requests_total{outcome=\"ANSWERED\",service=\"" + SERVICE + "\"} 1.0"));
    }

    @Test
    public void should_show_known_servers_when_state_page_is_read() throws Exception {
        backend("one", OperatorPagesTest::answer);
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(readRequest("r1"));
            caller.readAnswer();
        }

        String state = gateway.state();

        assertTrue(state.contains("\"id\" : \"one\""), state);
        assertTrue(state.contains("\"state\" : \"ready\""), state);
        assertTrue(state.contains("\"configuration\" : 7"), state);
        assertTrue(state.contains("\"connectionsOpened\" : 1"), state);
    }

    // A server accepts a limited number of connections from all entries and resets further ones, including those
    // that carry bookings. The second booking here would be lost with its connection, and its outcome would be
    // unknown.
    @Test
    public void should_refuse_request_when_connection_share_is_used_up() throws Exception {
        gateway.connectionLimit(SERVICE, 1);
        CountDownLatch release = new CountDownLatch(1);
        ScriptedBackend backend = backend("one", request -> {
            Latches.await(release);
            return answer(request);
        });
        gateway.publish();
        try (TestCaller first = gateway.caller();
                TestCaller second = gateway.caller()) {
            first.send(bookingRequest("r1"));
            backend.awaitRequest();
            second.send(bookingRequest("r2"));

            ReceivedRequest refusal = second.readAnswer();
            assertEquals(refusal.line(), "HTTP/1.1 503 Service Unavailable");
            assertTrue(refusal.header("Retry-After").isPresent());

            release.countDown();
            assertEquals(first.readAnswer().body(), "answer to r1");
        }
        assertEquals(backend.received().size(), 1);
    }

    private ScriptedBackend backend(String id, Script script) throws Exception {
        return gateway.backend(id, SERVICE, script);
    }

    private static Reply answer(ReceivedRequest request) {
        String id = request.header(TestProtocols.REQUEST_ID).orElse("");
        String body = "answer to " + id;
        return Reply.of("HTTP/1.1 200 OK\r\nTest-Id: " + id + "\r\nTest-Signed: by "
                + request.header(TestProtocols.SERVER).orElse("") + "\r\nContent-Length: " + body.length() + "\r\n\r\n"
                + body);
    }

    private static String bookingRequest(String id) {
        return "POST /book/a HTTP/1.1\r\nHost: house.example\r\nTest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
    }

    private static String readRequest(String id) {
        return "GET /read/a HTTP/1.1\r\nHost: house.example\r\nTest-Id: " + id + "\r\n\r\n";
    }
}
