package org.aspenmoorusage.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import org.aspenmoor.internal.gateway.standin.HttpText;
import org.aspenmoor.internal.gateway.standin.ReceivedRequest;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend.Reply;
import org.aspenmoor.internal.gateway.standin.ScriptedBackend.Script;
import org.aspenmoor.internal.gateway.standin.TestCaller;
import org.aspenmoor.internal.gateway.standin.TestGateway;
import org.aspenmoor.internal.gateway.standin.TestProtocols;
import org.aspenmoor.internal.serving.RepeatRule;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PlainRequestTest {
    private static final String SERVICE = "registry";

    private TestGateway gateway;

    @BeforeMethod
    public void start() throws Exception {
        gateway = new TestGateway();
        gateway.route("/book/", RepeatRule.AT_MOST_ONCE, false, 1, SERVICE);
        gateway.route("/read/", RepeatRule.REPEATABLE, false, 2, SERVICE);
    }

    @AfterMethod
    public void stop() throws IOException {
        gateway.close();
    }

    @Test
    public void should_hand_a_request_over_unchanged_and_its_answer_back_whole() throws Exception {
        ScriptedBackend backend = backend("one", PlainRequestTest::answer);
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(HttpText.head(
                            "POST /book/a?b=%20c HTTP/1.1",
                            "Host: house.example",
                            "Test-Id: r1",
                            "X-Own: kept",
                            "Connection: X-Hop",
                            "X-Hop: dropped",
                            "Content-Length: 5")
                    + "hello");

            ReceivedRequest answer = caller.answer();

            assertEquals(answer.line(), "HTTP/1.1 200 OK");
            assertEquals(answer.body(), "answer to r1");
            assertEquals(answer.header(TestProtocols.SIGNED).orElse(""), "by one");
        }
        ReceivedRequest received = backend.received().getFirst();
        assertEquals(received.line(), "POST /book/a?b=%20c HTTP/1.1");
        assertEquals(received.body(), "hello");
        assertEquals(received.header("X-Own").orElse(""), "kept");
        assertTrue(received.header("X-Hop").isEmpty());
        assertEquals(received.header(TestProtocols.SERVER).orElse(""), "one");
    }

    @Test
    public void should_serve_requests_that_follow_each_other_without_waiting() throws Exception {
        backend("one", PlainRequestTest::answer);
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(read("r1") + read("r2") + read("r3"));

            assertEquals(caller.answer().body(), "answer to r1");
            assertEquals(caller.answer().body(), "answer to r2");
            assertEquals(caller.answer().body(), "answer to r3");
        }
    }

    // A server accepts a booking and its connection breaks before the answer. A caller that is told that the
    // booking has not run would book a second time.
    @Test
    public void should_call_the_outcome_of_a_lost_booking_unknown_and_send_it_nowhere_else() throws Exception {
        ScriptedBackend first = backend("one", request -> Reply.thenClose(""));
        ScriptedBackend second = backend("two", request -> Reply.thenClose(""));
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(book("r1"));

            assertEquals(caller.answer().line(), "HTTP/1.1 502 Bad Gateway");
        }
        assertEquals(first.received().size() + second.received().size(), 1);
        assertTrue(gateway.awaitLogged("\"outcome\":\"UNKNOWN\"").contains("\"request\":\"r1\""));
    }

    @Test
    public void should_repeat_an_idempotent_request_whose_answer_was_lost() throws Exception {
        boolean[] lost = {false};
        Script losesTheFirst = request -> {
            synchronized (lost) {
                if (!lost[0]) {
                    lost[0] = true;
                    return Reply.thenClose("");
                }
                return answer(request);
            }
        };
        backend("one", losesTheFirst);
        backend("two", losesTheFirst);
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(read("r1"));

            assertEquals(caller.answer().body(), "answer to r1");
        }
    }

    // One server has no capacity and states that it did not run the booking. The booking may be sent to the other
    // one.
    @Test
    public void should_offer_a_booking_elsewhere_that_a_server_did_not_run() throws Exception {
        Script refuses =
                request -> Reply.of("HTTP/1.1 503 Service Unavailable\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        boolean[] refused = {false};
        Script refusesTheFirst = request -> {
            synchronized (refused) {
                Reply reply = refused[0] ? answer(request) : refuses.replyTo(request);
                refused[0] = true;
                return reply;
            }
        };
        backend("one", refusesTheFirst);
        backend("two", refusesTheFirst);
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(book("r1"));

            assertEquals(caller.answer().body(), "answer to r1");
        }
    }

    @Test
    public void should_refuse_with_a_time_to_come_back_what_no_server_runs() throws Exception {
        backend(
                "one",
                request ->
                        Reply.of("HTTP/1.1 503 Service Unavailable\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"));
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(book("r1"));

            ReceivedRequest answer = caller.answer();
            assertEquals(answer.line(), "HTTP/1.1 503 Service Unavailable");
            assertTrue(Double.parseDouble(answer.header("Retry-After").orElse("0")) > 0);
        }
    }

    // A server answers 503 without stating that it did not run the booking. If the status were forwarded, the
    // caller would conclude that the booking has not run, which is unknown.
    @Test
    public void should_not_pass_a_promise_on_that_the_server_did_not_make() throws Exception {
        backend(
                "one",
                request -> Reply.of(HttpText.head(
                        "HTTP/1.1 503 Service Unavailable",
                        "Test-Id: r1",
                        "Test-Signed: by one",
                        "Content-Length: 0")));
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(book("r1"));

            assertEquals(caller.answer().line(), "HTTP/1.1 502 Bad Gateway");
        }
    }

    @Test
    public void should_go_on_to_another_server_where_none_listens() throws Exception {
        int unused;
        try (ServerSocket probe = new ServerSocket(0)) {
            unused = probe.getLocalPort();
        }
        gateway.server("gone", SERVICE, unused);
        backend("live", PlainRequestTest::answer);
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            for (int request = 0; request < 10; request++) {
                caller.send(book("r" + request));
                assertEquals(caller.answer().body(), "answer to r" + request);
            }
        }
    }

    // A server answers a request twice. The second answer arrives where the answer to the next request is expected;
    // if forwarded, the caller would receive another caller's booking.
    @Test
    public void should_give_nobody_the_answer_to_another_request() throws Exception {
        backend("one", request -> {
            String whole = answer(request).bytes();
            return Reply.of(whole + whole);
        });
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            for (int request = 0; request < 20; request++) {
                caller.send(read("r" + request));
                assertEquals(caller.answer().body(), "answer to r" + request);
            }
        }
    }

    @Test
    public void should_not_take_a_truncated_answer_for_a_whole_one() throws Exception {
        backend(
                "one",
                request -> Reply.thenClose(
                        "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nTest-Signed: by one\r\nContent-Length: 100\r\n\r\nhalf"));
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(book("r1"));

            assertEquals(caller.answer().line(), "HTTP/1.1 502 Bad Gateway");
        }
    }

    @Test
    public void should_take_an_answer_without_a_length_as_whole_when_its_connection_ends() throws Exception {
        backend(
                "one",
                request -> Reply.thenClose("HTTP/1.1 200 OK\r\nTest-Id: r1\r\nTest-Signed: by one\r\n\r\nall of it"));
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(book("r1"));

            assertEquals(caller.answer().body(), "all of it");
        }
    }

    @Test
    public void should_not_take_bytes_that_are_no_answer() throws Exception {
        backend("one", request -> Reply.of("this is no HTTP\r\n\r\n"));
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(book("r1"));

            assertEquals(caller.answer().line(), "HTTP/1.1 502 Bad Gateway");
        }
    }

    @Test
    public void should_not_pass_an_unsigned_success_on() throws Exception {
        backend("one", request -> Reply.of("HTTP/1.1 200 OK\r\nTest-Id: r1\r\nContent-Length: 2\r\n\r\nno"));
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(book("r1"));

            assertEquals(caller.answer().line(), "HTTP/1.1 502 Bad Gateway");
        }
    }

    // A caller closes its connection before the answer. The server must not go on working on the request.
    @Test
    public void should_close_the_way_to_a_server_whose_caller_has_left() throws Exception {
        ScriptedBackend backend = backend("one", request -> Reply.of(""));
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(book("r1"));
            backend.awaitRequest();
        }
        backend.awaitClose();
        assertTrue(gateway.awaitLogged("CALLER_LEFT").contains("\"request\":\"r1\""));
    }

    // After a restart of all entries, processor time is short, and callers close their connections while their
    // requests are still unread. If these requests were forwarded half a second later, servers would work on
    // answers that nobody receives while the remaining callers wait.
    @Test
    public void should_not_send_a_request_on_whose_caller_left_while_the_entry_was_busy() throws Exception {
        ScriptedBackend backend = backend("one", PlainRequestTest::answer);
        gateway.publish();
        try (TestCaller busy = gateway.caller()) {
            TestCaller leaving = gateway.caller();
            leaving.send(read("r1"));
            leaving.answer();
            busy.send(HttpText.head(
                    "GET /read/a HTTP/1.1", "Host: house.example", "Test-Id: r2", TestProtocols.BUSY + ": yes"));
            gateway.protocols().awaitBusy();
            leaving.send(read("r3"));
            leaving.close();
            gateway.protocols().release();

            assertEquals(busy.answer().line(), "HTTP/1.1 200 OK");
        }
        assertTrue(gateway.awaitLogged("\"request\":\"r3\"").contains("CALLER_LEFT"));
        assertEquals(
                backend.received().stream()
                        .filter(request -> request.header("Test-Id").orElse("").equals("r3"))
                        .count(),
                0);
    }

    @Test
    public void should_answer_in_time_for_a_server_that_does_not() throws Exception {
        ScriptedBackend backend = backend("one", request -> Reply.of(""));
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(HttpText.head(
                    "POST /book/a HTTP/1.1",
                    "Host: house.example",
                    "Test-Id: r1",
                    "Test-Patience-Ms: 150",
                    "Content-Length: 0"));

            assertEquals(caller.answer().line(), "HTTP/1.1 504 Gateway Timeout");
        }
        assertTrue(Long.parseLong(
                        backend.received().getFirst().header(TestProtocols.LEFT).orElse(""))
                <= 150);
    }

    @Test
    public void should_say_that_no_route_leads_anywhere() throws Exception {
        backend("one", PlainRequestTest::answer);
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send("GET /elsewhere/ HTTP/1.1\r\nHost: house.example\r\nTest-Id: r1\r\n\r\n");

            assertEquals(caller.answer().line(), "HTTP/1.1 404 Not Found");
        }
    }

    // The process has just started and has not read its configuration. A 404 would tell callers that their route
    // does not exist.
    @Test
    public void should_refuse_for_now_before_any_configuration_is_known() throws Exception {
        try (TestCaller caller = gateway.caller()) {
            caller.send(read("r1"));

            ReceivedRequest answer = caller.answer();
            assertEquals(answer.line(), "HTTP/1.1 503 Service Unavailable");
            assertFalse(answer.header("Retry-After").isEmpty());
        }
    }

    @Test
    public void should_refuse_a_request_that_names_two_hosts() throws Exception {
        backend("one", PlainRequestTest::answer);
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send("GET /read/a HTTP/1.1\r\nHost: house.example\r\nHost: other.example\r\n\r\n");

            assertEquals(caller.answer().line(), "HTTP/1.1 400 Bad Request");
            assertTrue(caller.closed());
        }
    }

    // Request smuggling: a request with both a content length and chunked encoding can hide a second request from a
    // receiver that interprets it differently.
    @Test
    public void should_not_let_a_request_hide_another() throws Exception {
        ScriptedBackend backend = backend("one", PlainRequestTest::answer);
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            caller.send(HttpText.head(
                            "POST /book/a HTTP/1.1",
                            "Host: house.example",
                            "Test-Id: r1",
                            "Content-Length: 4",
                            "Transfer-Encoding: chunked")
                    + HttpText.chunk("hello")
                    + HttpText.END_OF_CHUNKS);
            caller.answer();
        }
        for (ReceivedRequest received : backend.received()) {
            assertEquals(received.body(), "hello");
            assertTrue(received.header("Transfer-Encoding").isEmpty());
        }
    }

    @Test
    public void should_ask_callers_to_close_and_end_once_it_is_told_to_stop() throws Exception {
        backend("one", PlainRequestTest::answer);
        gateway.publish();
        try (TestCaller caller = gateway.caller()) {
            gateway.gateway().stop();
            caller.send(read("r1"));

            ReceivedRequest answer = caller.answer();
            assertEquals(answer.body(), "answer to r1");
            assertEquals(answer.header("Connection").orElse(""), "close");
        }
        assertTrue(gateway.statusOf(gateway.gateway().readinessAddress().getPort(), "/ready")
                .contains(" 503 "));
        gateway.gateway().awaitEnd();
    }

    private ScriptedBackend backend(String id, Script script) throws Exception {
        return gateway.backend(id, SERVICE, script);
    }

    private static Reply answer(ReceivedRequest request) {
        String id = request.header(TestProtocols.ID).orElse("");
        String body = "answer to " + id;
        return Reply.of("HTTP/1.1 200 OK\r\nTest-Id: " + id + "\r\nTest-Signed: by "
                + request.header(TestProtocols.SERVER).orElse("") + "\r\nContent-Length: " + body.length() + "\r\n\r\n"
                + body);
    }

    private static String book(String id) {
        return "POST /book/a HTTP/1.1\r\nHost: house.example\r\nTest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
    }

    private static String read(String id) {
        return "GET /read/a HTTP/1.1\r\nHost: house.example\r\nTest-Id: " + id + "\r\n\r\n";
    }
}
