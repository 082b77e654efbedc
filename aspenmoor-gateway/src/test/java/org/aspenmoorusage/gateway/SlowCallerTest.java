package org.aspenmoorusage.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.aspenmoor.internal.gateway.standin.HttpText;
import org.aspenmoor.internal.gateway.standin.TestAnswers;
import org.aspenmoor.internal.gateway.standin.TestCaller;
import org.aspenmoor.internal.gateway.standin.TestGateway;
import org.aspenmoor.internal.serving.RetryRule;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class SlowCallerTest {
    /** Together far more than the gateway may buffer, even without what the operating system buffers. */
    private static final int SILENT_CALLERS = 16;

    /** Only limits how long a failing test takes; no assertion depends on it. */
    private static final Duration MAX_WAIT = Duration.ofSeconds(60);

    private static final String LARGE_BODY = "x".repeat(7_000_000);

    private TestGateway gateway;

    @BeforeMethod
    public void setUp() throws Exception {
        gateway = new TestGateway();
        gateway.route("/read/", RetryRule.REPEATABLE, false, 2, "registry");
        gateway.backend("one", "registry", request -> TestAnswers.ok(request, LARGE_BODY));
        gateway.publish();
    }

    @AfterMethod
    public void tearDown() throws IOException {
        gateway.close();
    }

    // Guards against an entry that runs out of memory because callers do not read their answers, and against a cut
    // answer that looks complete.
    @Test
    public void should_cut_answers_of_callers_that_do_not_read_when_too_much_is_buffered() throws Exception {
        List<TestCaller> silent = new ArrayList<>();
        for (int index = 0; index < SILENT_CALLERS; index++) {
            TestCaller caller = gateway.caller();
            silent.add(caller);
            caller.send(HttpText.head("GET /read/a HTTP/1.1", "Host: house.example", "Test-Id: silent-" + index));
            gateway.awaitLogged("\"event\":\"request-ended\"", index + 1);
            gateway.time().advance(Duration.ofSeconds(2));
        }

        gateway.awaitLogged("\"event\":\"caller-dropped\"");
        assertEquals(gateway.get("/read/b", "reading").body(), LARGE_BODY);
        int complete = 0;
        for (TestCaller caller : silent) {
            complete += receivesCompleteAnswer(caller) ? 1 : 0;
            caller.close();
        }
        assertTrue(complete < SILENT_CALLERS, complete + " complete answers");
        assertTrue(gateway.metrics().contains("aspenmoor_callers_dropped_total"));
    }

    // Guards against bytes that are counted for ever because making room for an answer has dropped its own caller.
    @Test
    public void should_count_no_bytes_when_the_only_caller_has_been_dropped() throws Exception {
        try (TestCaller silent = gateway.caller()) {
            int requests = 0;
            while (!gateway.metrics().contains("aspenmoor_callers_dropped_total 1.0")) {
                assertTrue(requests < SILENT_CALLERS, "not dropped after " + requests + " requests");
                silent.send(HttpText.head("GET /read/a HTTP/1.1", "Host: house.example", "Test-Id: own-" + requests));
                requests++;
                gateway.awaitLogged("\"event\":\"request-ended\"", requests);
                gateway.time().advance(Duration.ofSeconds(2));
            }
        }

        awaitNoBufferedBytes();
    }

    private void awaitNoBufferedBytes() throws IOException {
        String metrics = gateway.metrics();
        for (long startNanos = System.nanoTime(); System.nanoTime() - startNanos < MAX_WAIT.toNanos(); ) {
            if (metrics.lines().anyMatch("aspenmoor_buffered_bytes 0.0"::equals)) {
                return;
            }
            metrics = gateway.metrics();
        }
        throw new IOException("Bytes are still buffered; all metrics:\n" + metrics);
    }

    private static boolean receivesCompleteAnswer(TestCaller caller) {
        try {
            return caller.readAnswer().body().equals(LARGE_BODY);
        } catch (IOException cut) {
            return false;
        }
    }
}
