package org.aspenmoorusage.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.gateway.standin.HttpText;
import org.aspenmoor.internal.gateway.standin.ReceivedRequest;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend.Reply;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend.Script;
import org.aspenmoor.internal.gateway.standin.TestGateway;
import org.aspenmoor.internal.gateway.standin.TestProtocols;
import org.aspenmoor.internal.serving.RetryRule;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Streams that are continued after their last event, so that the rest has no events. */
public class StreamRestTest {
    private static final String SERVICE = "model";
    private static final String LAST_EVENT_ID = "2";
    private static final String STATUS_OK = "HTTP/1.1 200 OK";
    private static final String STATUS_LOST = "HTTP/1.1 502 Bad Gateway";
    private static final String CHUNKED = "Transfer-Encoding: chunked";
    private static final String SIGNATURE = TestProtocols.SIGNED + ": by one";

    private TestGateway gateway;
    private final List<ScriptedBackend> engines = new ArrayList<>();

    @BeforeMethod
    public void setUp() throws Exception {
        gateway = new TestGateway();
        gateway.route("/once/", RetryRule.AT_MOST_ONCE, true, 1, SERVICE);
        gateway.route("/resume/", RetryRule.RESUMABLE, true, 3, SERVICE);
    }

    @AfterMethod
    public void tearDown() throws IOException {
        gateway.close();
        engines.clear();
    }

    // Guards against a caller that has every event but not the end of its stream and is answered 502, after its request
    // has run at three engines and has used up retries of others.
    @Test
    public void should_answer_with_empty_rest_when_stream_is_taken_up_after_its_last_event() throws Exception {
        startEngines(request -> Reply.of(head(request, CHUNKED, SIGNATURE) + HttpText.LAST_CHUNK));

        assertEmptyRest(gateway.call(takenUp("/resume/")));

        assertEquals(runs(), 1);
        assertFalse(gateway.metrics().contains("aspenmoor_repeats_total"), gateway.metrics());
        assertTrue(gateway.awaitLogged("\"event\":\"request-ended\"").contains("\"outcome\":\"ANSWERED\""));
    }

    // Guards against an empty rest that is only recognised if the engine sends it in chunks.
    @Test
    public void should_answer_with_empty_rest_when_engine_states_its_length() throws Exception {
        startEngines(request -> Reply.of(head(request, "Content-Length: 0", SIGNATURE)));

        assertEmptyRest(gateway.call(takenUp("/resume/")));

        assertEquals(runs(), 1);
    }

    // Guards against a stream that is cut off although its caller has received every event: the engine breaks off
    // between its last event and its end, and nothing is left for the engine that continues.
    @Test
    public void should_complete_stream_when_engine_breaks_off_after_its_last_event() throws Exception {
        startEngines(request -> lastEvent(request).isPresent()
                ? Reply.of(head(request, CHUNKED, SIGNATURE) + HttpText.LAST_CHUNK)
                : Reply.thenClose(head(request, CHUNKED, SIGNATURE) + HttpText.chunk(eventText(1))));

        ReceivedRequest answer = gateway.call(request("/resume/"));

        assertEquals(answer.line(), STATUS_OK);
        assertEquals(answer.body(), eventText(1));
        assertEquals(runs(), 2);
    }

    // Guards against the same at a stream that its caller has taken up before: the engine that continues it breaks off
    // between its last event and its end.
    @Test
    public void should_complete_taken_up_stream_when_engine_breaks_off_after_its_last_event() throws Exception {
        startEngines(request -> lastEvent(request).equals(Optional.of("3"))
                ? Reply.of(head(request, CHUNKED, SIGNATURE) + HttpText.LAST_CHUNK)
                : Reply.thenClose(head(request, CHUNKED, SIGNATURE) + HttpText.chunk(eventText(3))));

        ReceivedRequest answer = gateway.call(takenUp("/resume/"));

        assertEquals(answer.line(), STATUS_OK);
        assertEquals(answer.body(), eventText(3));
        assertEquals(runs(), 2);
    }

    // Guards against an empty answer that is taken for complete although its engine has broken off.
    @Test
    public void should_answer_with_the_rest_when_first_engine_breaks_off_before_its_first_event() throws Exception {
        startEngines(request -> runs() == 1
                ? Reply.thenClose(head(request, CHUNKED, SIGNATURE))
                : Reply.of(head(request, CHUNKED, SIGNATURE) + HttpText.chunk(eventText(3)) + HttpText.LAST_CHUNK));

        assertEquals(gateway.call(takenUp("/resume/")).body(), eventText(3));

        assertEquals(runs(), 2);
    }

    // Guards against a rest that looks complete although its engine has broken off within an event.
    @Test
    public void should_answer_bad_gateway_when_rest_ends_within_event() throws Exception {
        startEngines(request ->
                Reply.of(head(request, CHUNKED, SIGNATURE) + HttpText.chunk("id: 3\nda") + HttpText.LAST_CHUNK));

        assertEquals(gateway.call(takenUp("/resume/")).line(), STATUS_LOST);
    }

    // Guards against a rest that looks complete although its engine has crashed before its first event: without a
    // length, the end of the connection is all that the entry sees.
    @Test
    public void should_answer_bad_gateway_when_empty_rest_has_no_length() throws Exception {
        startEngines(request -> Reply.thenClose(head(request, SIGNATURE)));

        assertEquals(gateway.call(takenUp("/resume/")).line(), STATUS_LOST);
    }

    // Guards against a success that no engine has signed.
    @Test
    public void should_answer_bad_gateway_when_empty_rest_is_not_signed() throws Exception {
        startEngines(request -> Reply.of(head(request, CHUNKED) + HttpText.LAST_CHUNK));

        assertEquals(gateway.call(takenUp("/resume/")).line(), STATUS_LOST);
    }

    // Guards against an empty answer to another request on the same connection.
    @Test
    public void should_answer_bad_gateway_when_empty_rest_has_no_request_id() throws Exception {
        startEngines(request -> Reply.of(HttpText.head(STATUS_OK, CHUNKED, SIGNATURE) + HttpText.LAST_CHUNK));

        assertEquals(gateway.call(takenUp("/resume/")).line(), STATUS_LOST);
    }

    // Guards against a caller that gets an empty answer to a new request, which always has events.
    @Test
    public void should_answer_bad_gateway_when_new_stream_is_empty() throws Exception {
        startEngines(request -> Reply.of(head(request, CHUNKED, SIGNATURE) + HttpText.LAST_CHUNK));

        assertEquals(gateway.call(request("/resume/")).line(), STATUS_LOST);
    }

    // Guards against an empty answer of an engine that does not know the caller's last event, because streams of the
    // route cannot be resumed.
    @Test
    public void should_answer_bad_gateway_when_route_cannot_be_resumed() throws Exception {
        startEngines(request -> Reply.of(head(request, CHUNKED, SIGNATURE) + HttpText.LAST_CHUNK));

        assertEquals(gateway.call(takenUp("/once/")).line(), STATUS_LOST);
    }

    private static void assertEmptyRest(ReceivedRequest answer) {
        assertEquals(answer.line(), STATUS_OK);
        assertEquals(answer.body(), "");
        assertEquals(answer.header(TestProtocols.SIGNED), Optional.of("by one"));
        assertEquals(answer.header(TestProtocols.REQUEST_ID), Optional.of("again"));
        assertEquals(answer.header("Content-Type"), Optional.of("text/event-stream"));
    }

    private void startEngines(Script script) throws Exception {
        for (String id : List.of("one", "two", "three")) {
            engines.add(gateway.backend(id, SERVICE, EngineRole.WHOLE, TestGateway.LOCAL_DATA_CENTRE, script));
        }
        gateway.publish();
    }

    /** Returns how many requests of callers the engines have received; queries of caches are not POST requests. */
    private long runs() {
        return engines.stream()
                .flatMap(engine -> engine.received().stream())
                .filter(request -> request.line().startsWith("POST"))
                .count();
    }

    private static Optional<String> lastEvent(ReceivedRequest request) {
        return request.header(TestProtocols.LAST_EVENT);
    }

    private static String head(ReceivedRequest request, String... lines) {
        List<String> all = new ArrayList<>(List.of(STATUS_OK, "Content-Type: text/event-stream"));
        all.add(TestProtocols.REQUEST_ID + ": "
                + request.header(TestProtocols.REQUEST_ID).orElse(""));
        all.addAll(List.of(lines));
        return HttpText.head(all.toArray(String[]::new));
    }

    private static String eventText(int eventId) {
        return "id: " + eventId + "\ndata: token " + eventId + "\n\n";
    }

    private static String request(String path) {
        return HttpText.head("POST " + path + "a HTTP/1.1", "Host: house.example", "Test-Id: r1", "Content-Length: 0");
    }

    private static String takenUp(String path) {
        return HttpText.head(
                "POST " + path + "a HTTP/1.1",
                "Host: house.example",
                "Test-Id: again",
                TestProtocols.RESUMES + ": r1",
                TestProtocols.LAST_EVENT + ": " + LAST_EVENT_ID,
                "Content-Length: 0");
    }
}
