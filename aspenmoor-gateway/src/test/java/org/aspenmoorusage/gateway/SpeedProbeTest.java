package org.aspenmoorusage.gateway;

import static org.testng.Assert.assertEquals;
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

/** Calls of the health path that ask servers for their speed. */
public class SpeedProbeTest {
    private static final String STATING = "registry";
    private static final String SILENT = "archive";
    private static final String HEALTH_PATH = "/alive";
    private static final String SLOWDOWN = TestProtocols.SLOWDOWN + ": 1.7";
    private static final int CALLS = 4;

    private TestGateway gateway;

    @BeforeMethod
    public void setUp() throws Exception {
        gateway = new TestGateway();
        gateway.route("/read/", RetryRule.REPEATABLE, false, 1, STATING);
        gateway.route("/old/", RetryRule.REPEATABLE, false, 1, SILENT);
        gateway.healthPath(STATING, HEALTH_PATH).healthPath(SILENT, HEALTH_PATH);
    }

    @AfterMethod
    public void tearDown() throws IOException {
        gateway.close();
    }

    // Guards against servers whose speed stays unknown because their answers to requests state nothing.
    @Test
    public void should_know_the_speed_of_servers_that_state_it_on_their_health_path_only() throws Exception {
        ScriptedBackend server = gateway.backend("one", STATING, request -> answer(request, List.of(SLOWDOWN)));
        gateway.publish();

        requestUntilAsked(server);

        String metrics = gateway.metrics();
        assertTrue(metrics.contains("aspenmoor_speed_probes_total{service=\"registry\"}"), metrics);
        assertTrue(metrics.contains("aspenmoor_server_stated_slowdown{server=\"one\"} 1.7"), metrics);
    }

    // Guards against calls that cost something in deployments whose servers state nothing.
    @Test
    public void should_ask_once_when_servers_do_not_state_their_speed() throws Exception {
        ScriptedBackend silent = gateway.backend("old", SILENT, request -> answer(request, List.of()));
        ScriptedBackend stating = gateway.backend("one", STATING, request -> answer(request, List.of(SLOWDOWN)));
        gateway.publish();

        requestUntilAsked(stating);

        assertEquals(healthCalls(silent), 1);
    }

    // Guards against a server that gets no requests because its health path asks to be called later.
    @Test
    public void should_send_requests_to_a_server_whose_health_path_answers_503() throws Exception {
        ScriptedBackend server = gateway.backend(
                "one",
                STATING,
                request -> isHealthCall(request)
                        ? Reply.of(HttpText.head(
                                "HTTP/1.1 503 Service Unavailable",
                                SLOWDOWN,
                                TestProtocols.BACKOFF_MILLISECONDS + ": 3600000",
                                "Content-Length: 0"))
                        : answer(request, List.of()));
        gateway.publish();

        requestUntilAsked(server);

        assertTrue(gateway.metrics().contains("aspenmoor_server_stated_slowdown{server=\"one\"} 1.7"));
    }

    /** Sends requests, all of which have to be answered, until a server has been asked several times. */
    private void requestUntilAsked(ScriptedBackend server) throws IOException {
        for (int request = 1; healthCalls(server) < CALLS; request++) {
            assertTrue(gateway.get("/read/" + request, "r-" + request).line().contains(" 200 "));
            gateway.get("/old/" + request, "o-" + request);
        }
    }

    private static Reply answer(ReceivedRequest request, List<String> healthHeaders) {
        return TestAnswers.ok(request, "x", isHealthCall(request) ? healthHeaders : List.of());
    }

    private static long healthCalls(ScriptedBackend server) {
        return server.received().stream().filter(SpeedProbeTest::isHealthCall).count();
    }

    private static boolean isHealthCall(ReceivedRequest request) {
        return request.line().contains(" " + HEALTH_PATH + " ");
    }
}
