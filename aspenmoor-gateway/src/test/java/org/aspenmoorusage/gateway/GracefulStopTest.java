package org.aspenmoorusage.gateway;

import java.io.IOException;
import java.time.Duration;
import org.aspenmoor.internal.gateway.standin.HttpText;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend.Reply;
import org.aspenmoor.internal.gateway.standin.TestCaller;
import org.aspenmoor.internal.gateway.standin.TestGateway;
import org.aspenmoor.internal.serving.RetryRule;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class GracefulStopTest {
    private static final String SERVICE = "registry";

    /** The grace period of the gateway. */
    private static final Duration GRACE_PERIOD = Duration.ofSeconds(8);

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

    // Guards against answers that the end of the process cuts without a line in its log.
    @Test
    public void should_log_what_is_unfinished_when_the_grace_period_ends() throws Exception {
        ScriptedBackend backend = gateway.backend("one", SERVICE, request -> Reply.of(""));
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(HttpText.head("GET /read/a HTTP/1.1", "Host: house.example", "Test-Id: r1"));
            backend.awaitRequest("r1");
            stop();
            gateway.time().advance(GRACE_PERIOD);

            gateway.awaitLogged("\"event\":\"stop-finished\",\"servedRequests\":1,\"openConnections\":1");
        }
    }

    /** Begins a graceful stop; returns when it has begun. */
    private void stop() throws IOException {
        gateway.gateway().stop();
        while (!gateway.statusLine(gateway.gateway().readinessAddress().getPort(), "/ready")
                .contains(" 503 ")) {
            Thread.onSpinWait();
        }
    }
}
