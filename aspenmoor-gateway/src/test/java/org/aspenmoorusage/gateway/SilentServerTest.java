package org.aspenmoorusage.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.gateway.standin.HttpText;
import org.aspenmoor.internal.gateway.standin.ReceivedRequest;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend.DelayedPart;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend.Reply;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend.Script;
import org.aspenmoor.internal.gateway.standin.TestAnswers;
import org.aspenmoor.internal.gateway.standin.TestCaller;
import org.aspenmoor.internal.gateway.standin.TestGateway;
import org.aspenmoor.internal.gateway.standin.TestProtocols;
import org.aspenmoor.internal.serving.RetryRule;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Servers that send nothing for a while, before an answer or within it. */
public class SilentServerTest {
    private static final String SERVICE = "model";
    private static final String REGISTRY = "registry";
    private static final String SMALL = "small";
    private static final int EVENTS = 200;

    /** After a part of this time an entry looks for another server. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(1);

    private static final Duration ROUTE_TIMEOUT = Duration.ofSeconds(15);
    private static final String STALLED = "the answer stalled";
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nTest-Signed: by one\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static final String REJECTION =
            HttpText.head("HTTP/1.1 503 Service Unavailable", "Test-Id: r1", "Test-Not-Run: 1", "Content-Length: 0");

    private CountDownLatch serverReturns;
    private TestGateway gateway;

    @BeforeMethod
    public void setUp() throws Exception {
        serverReturns = new CountDownLatch(1);
        gateway = new TestGateway();
        gateway.route("/quiet/", RetryRule.RESUMABLE, true, 2, SERVICE, IDLE_TIMEOUT);
        gateway.route("/long/", RetryRule.RESUMABLE, true, 2, SERVICE, Duration.ofSeconds(4));
        gateway.route("/small/", RetryRule.RESUMABLE, true, 2, SMALL, IDLE_TIMEOUT);
        gateway.route("/read/", RetryRule.REPEATABLE, false, 2, REGISTRY);
    }

    @AfterMethod
    public void tearDown() throws IOException {
        serverReturns.countDown();
        gateway.close();
    }

    // Guards against a stream that ends because its engine was silent for a moment and no other one is there.
    @Test
    public void should_wait_for_a_silent_engine_when_there_is_no_other() throws Exception {
        ScriptedBackend only = backend("one", pausesAfterFirstEvent());
        gateway.publish();

        assertWholeAfterStall();
        assertEquals(only.count("r1"), 1);
    }

    // Guards against a stream that ends because its engine was silent while the retry budget was used up.
    @Test
    public void should_wait_for_a_silent_engine_when_no_retry_is_left() throws Exception {
        ScriptedBackend first = backend("one", pausesAfterFirstEvent());
        ScriptedBackend second = backend("two", pausesAfterFirstEvent());
        gateway.publish();
        gateway.allowRetries(false);

        assertWholeAfterStall();
        assertEquals(first.count("r1") + second.count("r1"), 1);
    }

    // Guards against a stream that ends because its engine was silent and all others run another software version.
    @Test
    public void should_wait_for_a_silent_engine_when_the_others_run_another_version() throws Exception {
        gateway.softwareVersion("old");
        ScriptedBackend first = backend("one", pausesAfterFirstEvent());
        gateway.softwareVersion("new");
        ScriptedBackend second = backend("two", pausesAfterFirstEvent());
        gateway.publish();

        assertWholeAfterStall();
        assertEquals(first.count("r1") + second.count("r1"), 1);
    }

    // Guards against streams that end because their silent engines are given up for ones with no free connection.
    @Test
    public void should_wait_for_silent_engines_when_all_connections_to_the_others_are_in_use() throws Exception {
        gateway.connectionLimit(SMALL, 1);
        ScriptedBackend one = gateway.backend("one", SMALL, pausesAfterFirstEvent());
        ScriptedBackend two = gateway.backend("two", SMALL, pausesAfterFirstEvent());
        gateway.publish();
        try (TestCaller first = gateway.caller();
                TestCaller second = gateway.caller()) {
            first.send(streamRequest("/small/"));
            ReceivedRequest firstHead = readHeadOfStream(first);
            second.send(streamRequest("/small/"));
            ReceivedRequest secondHead = readHeadOfStream(second);
            gateway.awaitLogged(STALLED, 2);
            serverReturns.countDown();

            assertEquals(first.readBody(firstHead), events(EVENTS));
            assertEquals(second.readBody(secondHead), events(EVENTS));
        }
        assertEquals(one.count("r1") + two.count("r1"), 2);
    }

    // Guards against an answer that fails because its server began late and the only other attempt had no server.
    @Test
    public void should_wait_for_a_silent_server_when_the_answer_has_not_begun_and_there_is_no_other() throws Exception {
        ScriptedBackend only = gateway.backend(
                "one",
                REGISTRY,
                request -> Reply.withDelayedPart(
                        "",
                        new DelayedPart(
                                serverReturns, TestAnswers.ok(request, "late").bytes())));
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(HttpText.head("GET /read/a HTTP/1.1", "Host: house.example", "Test-Id: r1"));
            gateway.awaitLogged("no answer began within the stall limit");
            serverReturns.countDown();

            assertEquals(caller.readAnswer().body(), "late");
        }
        assertEquals(only.count("r1"), 1);
    }

    // Guards against a caller that waits for a silent engine until its deadline though another engine has come.
    @Test
    public void should_continue_at_another_engine_when_it_appears_during_the_silence() throws Exception {
        ScriptedBackend silent = backend("one", pausesAfterFirstEvent());
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(streamRequest("/quiet/"));
            gateway.awaitLogged(STALLED);
            backend("two", pausesAfterFirstEvent());

            assertEquals(caller.readAnswer().body(), events(EVENTS));
        }
        serverReturns.countDown();
        silent.awaitClose();
    }

    // Guards against a stream that ends because the engine to which the entry has moved it rejects the rest.
    @Test
    public void should_wait_for_a_retry_when_the_engine_after_a_silent_one_rejects_the_rest() throws Exception {
        CountDownLatch rejectionDue = new CountDownLatch(1);
        AtomicInteger resumed = new AtomicInteger();
        Script rejectsFirstRest = request -> request.header(TestProtocols.LAST_EVENT)
                .map(after -> resumed.incrementAndGet() > 1
                        ? Reply.of(rest(after))
                        : Reply.withDelayedPart("", new DelayedPart(rejectionDue, REJECTION)))
                .orElseGet(this::firstEvent);
        ScriptedBackend first = backend("one", rejectsFirstRest);
        ScriptedBackend second = backend("two", rejectsFirstRest);
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(streamRequest("/quiet/"));
            while (first.count("r1") + second.count("r1") < 2) {
                Thread.onSpinWait();
            }
            gateway.allowRetries(false);
            rejectionDue.countDown();
            gateway.awaitLogged("the server did not run the request: status 503");
            gateway.allowRetries(true);

            assertEquals(caller.readAnswer().body(), events(EVENTS));
        }
    }

    // Guards against a stream that the entry ends by itself once it believes that the caller has left.
    @Test
    public void should_wait_for_a_silent_engine_when_the_assumed_patience_of_the_caller_is_over() throws Exception {
        backend("one", pausesAfterFirstEvent());
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(streamRequest("/quiet/"));
            gateway.awaitLogged(STALLED);
            gateway.time().advance(IDLE_TIMEOUT.multipliedBy(2));
            serverReturns.countDown();

            assertEquals(caller.readAnswer().body(), events(EVENTS));
        }
    }

    // Guards against a stream that is not continued, though another engine is free, because the caller is believed to
    // have left.
    @Test
    public void should_continue_at_another_engine_when_the_assumed_patience_of_the_caller_is_over() throws Exception {
        Script breaksUnlessResumed = request -> request.header(TestProtocols.LAST_EVENT)
                .map(after -> Reply.of(rest(after)))
                .orElseGet(() ->
                        new Reply(HEAD + eventChunk(1), Optional.of(new DelayedPart(serverReturns, "")), true, false));
        ScriptedBackend first = backend("one", breaksUnlessResumed);
        ScriptedBackend second = backend("two", breaksUnlessResumed);
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(streamRequest("/long/"));
            ReceivedRequest head = readHeadOfStream(caller);
            gateway.time().advance(Duration.ofSeconds(5));
            serverReturns.countDown();

            assertEquals(caller.readBody(head), events(EVENTS));
        }
        assertEquals(first.count("r1") + second.count("r1"), 2);
    }

    // Guards against an engine that goes on working for a caller that has left during the silence.
    @Test
    public void should_end_the_attempt_at_a_silent_engine_when_the_caller_leaves() throws Exception {
        ScriptedBackend only = backend("one", pausesAfterFirstEvent());
        gateway.publish();
        TestCaller leaving = gateway.caller();
        leaving.send(streamRequest("/quiet/"));
        gateway.awaitLogged(STALLED);
        leaving.close();

        assertTrue(gateway.awaitLogged("\"event\":\"request-ended\"").contains("CALLER_LEFT"));
        serverReturns.countDown();
        only.awaitClose();
    }

    // Guards against an answer that is taken from its engine for another one, where it cannot be placed.
    @Test
    public void should_stay_at_its_engine_when_it_should_move_and_no_other_can_answer_in_time() throws Exception {
        ScriptedBackend first = backend("one", pausesAfterFirstEvent());
        ScriptedBackend second = backend("two", pausesAfterFirstEvent());
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(streamRequest("/long/"));
            ReceivedRequest head = readHeadOfStream(caller);
            gateway.reportRoleChange(first.count("r1") > 0 ? "one" : "two", EngineRole.PREFILL);
            gateway.time().advance(ROUTE_TIMEOUT);
            serverReturns.countDown();

            assertEquals(caller.readBody(head), events(EVENTS));
        }
        assertEquals(first.count("r1") + second.count("r1"), 1);
    }

    private void assertWholeAfterStall() throws Exception {
        try (TestCaller caller = gateway.caller()) {
            caller.send(streamRequest("/quiet/"));
            gateway.awaitLogged(STALLED);
            serverReturns.countDown();

            assertEquals(caller.readAnswer().body(), events(EVENTS));
        }
    }

    /** Reads the head, which arrives with the first event; returns when the entry has handled that event. */
    private ReceivedRequest readHeadOfStream(TestCaller caller) throws IOException {
        ReceivedRequest head = caller.readHead();
        // The event loop answers this only after the step in which it has sent the head.
        gateway.state();
        return head;
    }

    private ScriptedBackend backend(String id, Script script) throws Exception {
        return gateway.backend(id, SERVICE, EngineRole.WHOLE, TestGateway.LOCAL_DATA_CENTRE, script);
    }

    /** Replies to a first attempt with one event and, when the server returns, the rest; to others with the rest. */
    private Script pausesAfterFirstEvent() {
        return request -> request.header(TestProtocols.LAST_EVENT)
                .map(after -> Reply.of(rest(after)))
                .orElseGet(this::firstEvent);
    }

    private Reply firstEvent() {
        return Reply.withDelayedPart(
                HEAD + eventChunk(1), new DelayedPart(serverReturns, eventsFrom(2) + HttpText.LAST_CHUNK));
    }

    private static String rest(String lastEvent) {
        return HEAD + eventsFrom(Integer.parseInt(lastEvent) + 1) + HttpText.LAST_CHUNK;
    }

    private static String streamRequest(String path) {
        return HttpText.head("POST " + path + "a HTTP/1.1", "Host: house.example", "Test-Id: r1", "Content-Length: 0");
    }

    private static String events(int count) {
        return IntStream.rangeClosed(1, count)
                .mapToObj(SilentServerTest::eventText)
                .collect(Collectors.joining());
    }

    private static String eventsFrom(int first) {
        return IntStream.rangeClosed(first, EVENTS)
                .mapToObj(SilentServerTest::eventChunk)
                .collect(Collectors.joining());
    }

    private static String eventText(int eventId) {
        return "id: " + eventId + "\ndata: token " + eventId + "\n\n";
    }

    private static String eventChunk(int eventId) {
        return HttpText.chunk(eventText(eventId));
    }
}
