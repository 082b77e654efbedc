package org.aspenmoorusage.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.gateway.standin.HttpText;
import org.aspenmoor.internal.gateway.standin.ReceivedRequest;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend.DelayedPart;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend.Reply;
import org.aspenmoor.internal.gateway.standin.TestAnswers;
import org.aspenmoor.internal.gateway.standin.TestCaller;
import org.aspenmoor.internal.gateway.standin.TestGateway;
import org.aspenmoor.internal.gateway.standin.TestProtocols;
import org.aspenmoor.internal.serving.RetryRule;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class FatalPromptPartTest {
    private static final String MODEL = "model";
    private static final String SERVER_TERMINATED_EVENT = "\"event\":\"server-ended\"";
    private static final String FATAL_PART = "fatal";
    private static final String HELD_PART = "held";

    /** Entries that have just started do not accuse parts. */
    private static final Duration TIME_SINCE_START = Duration.ofSeconds(10);

    private static final int SERVERS = 12;
    private static final int ARRIVALS = 12;

    /** Maximum number of servers that a part may terminate before requests with it are refused. */
    private static final int MAX_TERMINATIONS = 5;

    /** Maximum number of further requests with the part until all entries know of the last termination. */
    private static final int MAX_FURTHER_RUNS = 3;

    private final List<ScriptedBackend> servers = new ArrayList<>();
    private ScriptedBackend prefillEngine;
    private TestGateway gateway;
    private CountDownLatch heldPromptDue;
    private int requestsSent;

    @BeforeMethod
    public void setUp() throws Exception {
        requestsSent = 0;
        heldPromptDue = new CountDownLatch(1);
        gateway = new TestGateway();
        gateway.route("/draft/", RetryRule.AT_MOST_ONCE, true, 1, MODEL);
        prefillEngine =
                gateway.backend("prompts", MODEL, EngineRole.PREFILL, TestGateway.LOCAL_DATA_CENTRE, this::prefilled);
        for (int index = 0; index < SERVERS; index++) {
            servers.add(gateway.backend(
                    "answers-" + index,
                    MODEL,
                    EngineRole.DECODE,
                    TestGateway.LOCAL_DATA_CENTRE,
                    FatalPromptPartTest::crashIfFatal));
        }
        gateway.publish();
        gateway.time().advance(TIME_SINCE_START);
    }

    @AfterMethod
    public void tearDown() throws IOException {
        heldPromptDue.countDown();
        servers.clear();
        gateway.close();
    }

    // Guards against a part of prompts that terminates one server after another because no two requests with it are
    // alike.
    @Test
    public void should_refuse_requests_with_part_when_it_has_terminated_servers() throws Exception {
        ReceivedRequest last = sendFatalRequests(gateway);

        assertTrue(terminatedServers() <= MAX_TERMINATIONS, "terminated servers: " + terminatedServers());
        assertTrue(last.line().contains(" 503 "), last.line());
        assertTrue(Double.parseDouble(last.header("Retry-After").orElse("0")) > 0);
    }

    // Guards against prompts that are computed for answers that will not be asked for.
    @Test
    public void should_not_prefill_when_part_is_quarantined() throws Exception {
        sendFatalRequests(gateway);

        long prefills = prefillEngine.received().stream()
                .filter(request -> prompt(request).contains(FATAL_PART))
                .count();
        assertTrue(prefills <= MAX_TERMINATIONS, "prefills: " + prefills);
    }

    // Guards against answers that are asked for because their prompts were already being computed when the part was
    // found to be fatal.
    @Test
    public void should_not_request_answer_when_part_is_quarantined_during_prefill() throws Exception {
        try (TestCaller waiting = gateway.caller()) {
            waiting.send(request("held", FATAL_PART + ":200 " + HELD_PART + ":300"));
            prefillEngine.awaitRequest("held");
            sendFatalRequests(gateway);
            heldPromptDue.countDown();

            assertTrue(waiting.readAnswer().line().contains(" 503 "));
        }
        assertTrue(servers.stream().allMatch(server -> server.count("held") == 0));
    }

    // Guards against sound requests that are refused because they share a first part with fatal ones.
    @Test
    public void should_serve_requests_with_same_first_part_when_another_part_is_fatal() throws Exception {
        send(gateway, "application:900 sound:300");
        sendFatalRequests(gateway);

        for (int arrival = 0; arrival < ARRIVALS; arrival++) {
            assertTrue(send(gateway, "application:900 sound:300").line().contains(" 200 "));
        }
        assertTrue(terminatedServers() <= MAX_TERMINATIONS, "terminated servers: " + terminatedServers());
    }

    // Guards against a part that terminates the full number of servers through each entry.
    @Test
    public void should_refuse_requests_with_part_when_servers_terminated_at_another_entry() throws Exception {
        TestGateway second = startEntry("second-entry");
        for (int arrival = 0; arrival < ARRIVALS; arrival++) {
            TestGateway entry = arrival % 2 == 0 ? gateway : second;
            int terminatedBefore = terminatedServers();
            sendFatalRequest(entry);
            if (terminatedServers() > terminatedBefore) {
                entry.awaitLogged(SERVER_TERMINATED_EVENT);
            }
        }

        assertTrue(
                terminatedServers() <= MAX_TERMINATIONS + MAX_FURTHER_RUNS,
                "terminated servers: " + terminatedServers());
    }

    // Guards against entries that lose the list of fatal parts when all of them are restarted.
    @Test
    public void should_keep_quarantine_of_part_when_all_entries_are_restarted() throws Exception {
        sendFatalRequests(gateway);
        gateway.awaitLogged("\"event\":\"fatal-request-stored\"");
        gateway.close();
        TestGateway restarted = startEntry("entry-under-test");
        int terminatedBefore = terminatedServers();

        sendFatalRequests(restarted);

        assertEquals(terminatedServers(), terminatedBefore);
    }

    /** Sends {@link #ARRIVALS} requests, each after the termination that the one before caused has been detected. */
    private ReceivedRequest sendFatalRequests(TestGateway entry) throws IOException {
        ReceivedRequest answer = null;
        int terminatedBefore = terminatedServers();
        for (int arrival = 0; arrival < ARRIVALS && terminatedServers() < SERVERS; arrival++) {
            answer = sendFatalRequest(entry);
            int terminated = terminatedServers() - terminatedBefore;
            if (terminated > 0) {
                entry.awaitLogged(SERVER_TERMINATED_EVENT, terminated);
            }
        }
        return answer;
    }

    private ReceivedRequest sendFatalRequest(TestGateway entry) throws IOException {
        return send(entry, "application:900 " + FATAL_PART + ":200");
    }

    /** Sends a request with the given shared parts and one of its own, so that no two requests are alike. */
    private ReceivedRequest send(TestGateway entry, String sharedParts) throws IOException {
        requestsSent++;
        return entry.call(request("r" + requestsSent, sharedParts));
    }

    private static String request(String id, String sharedParts) {
        String body = "request " + id;
        return HttpText.head(
                        "POST /draft/a HTTP/1.1",
                        "Host: house.example",
                        "Test-Id: " + id,
                        TestProtocols.PROMPT + ": " + sharedParts + " own-" + id + ":50",
                        "Content-Length: " + body.length())
                + body;
    }

    private TestGateway startEntry(String process) throws Exception {
        TestGateway entry = gateway.startAnother(process);
        entry.time().advance(TIME_SINCE_START);
        return entry;
    }

    private int terminatedServers() {
        return (int) servers.stream().filter(ScriptedBackend::crashed).count();
    }

    private static String prompt(ReceivedRequest request) {
        return request.header(TestProtocols.PROMPT).orElse("");
    }

    private static Reply crashIfFatal(ReceivedRequest request) {
        return prompt(request).contains(FATAL_PART) ? Reply.crash() : TestAnswers.oneEvent(request);
    }

    private Reply prefilled(ReceivedRequest request) {
        Reply reply = TestAnswers.ok(request, "handle");
        return prompt(request).contains(HELD_PART)
                ? Reply.withDelayedPart("", new DelayedPart(heldPromptDue, reply.bytes()))
                : reply;
    }
}
