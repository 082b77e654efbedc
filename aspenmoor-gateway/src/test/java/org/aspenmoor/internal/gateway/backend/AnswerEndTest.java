package org.aspenmoor.internal.gateway.backend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import org.aspenmoor.internal.gateway.standin.HttpText;
import org.aspenmoor.internal.gateway.standin.ManualBackend;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class AnswerEndTest {
    /** Larger than the buffers of a loopback connection, so that part of the request stays unsent. */
    private static final int LONG_BODY_BYTES = 64 * 1024 * 1024;

    /** More than the buffers of a loopback connection hold, so that a server that writes them notices a close. */
    private static final long ENDLESS_BYTES = 64L * 1024 * 1024;

    private static final int LINE_BYTES = 4096;
    private static final int RESETS_AT_ONCE = 20;

    private BackendFixture fixture;

    @BeforeMethod
    public void start() throws IOException {
        fixture = new BackendFixture();
    }

    @AfterMethod
    public void stop() throws IOException {
        fixture.close();
    }

    @DataProvider
    public Object[][] headBeginnings() {
        return new Object[][] {
            {""}, {"HTTP/1.1 100 Continue\r\n\r\n"}, {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"}
        };
    }

    // Guards against an answer whose head is cut off anywhere and that callers get as a complete one without a body.
    @Test(dataProvider = "headBeginnings")
    public void should_fail_answer_when_connection_ends_within_its_head(String before) throws Exception {
        String head = before
                + HttpText.head(
                        "HTTP/1.1 200 OK",
                        "Test-Id: " + BackendFixture.REQUEST_ID,
                        "Test-Signed: by one",
                        "Content-Length: 0");
        for (int length = 0; length < head.length(); length++) {
            RecordingExchangeListener listener = new RecordingExchangeListener();
            fixture.send(0, listener);
            try (ManualBackend.Connection connection = fixture.backend().accept()) {
                connection.readHead();
                connection.write(head.substring(0, length));
                connection.endOutput();

                String end = listener.awaitEnd();
                assertTrue(end.startsWith("failed: "), length + " characters of the head: " + end);
            }
        }
    }

    // Guards against the same on a connection over which a complete answer has come before.
    @Test
    public void should_fail_answer_when_a_kept_connection_ends_within_its_head() throws Exception {
        RecordingExchangeListener first = new RecordingExchangeListener();
        fixture.send(0, first);
        try (ManualBackend.Connection connection = fixture.backend().accept()) {
            connection.readHead();
            connection.write(BackendFixture.COMPLETE_ANSWER);
            assertEquals(first.awaitEnd(), RecordingExchangeListener.COMPLETED);
            RecordingExchangeListener second = new RecordingExchangeListener();
            fixture.send("r2", second);
            connection.readHead();
            connection.write("HTTP/1.1 200 OK\r\nTest-Id: r2\r\nTest-Signed: by one\r\nContent-Length: 0\r\n");
            connection.endOutput();

            assertTrue(second.awaitEnd().startsWith("failed: "), second.awaitEnd());
        }
        assertEquals(fixture.openedTotal(), 1);
    }

    // Guards against an answer that a reset has cut off and that looks complete, as the reset is noticed by a write.
    @Test
    public void should_fail_answer_without_length_when_connection_is_reset_before_request_is_written()
            throws Exception {
        RecordingExchangeListener listener = new RecordingExchangeListener();
        fixture.send(LONG_BODY_BYTES, listener);
        try (ManualBackend.Connection connection = fixture.backend().accept()) {
            writeHalf(connection, listener);

            connection.reset();

            assertTrue(listener.awaitEnd().startsWith("failed: "), listener.awaitEnd());
        }
    }

    // Guards against the same where the reset is noticed by a read.
    @Test
    public void should_fail_answer_without_length_when_connection_is_reset_after_request_was_written()
            throws Exception {
        RecordingExchangeListener listener = new RecordingExchangeListener();
        fixture.send(0, listener);
        try (ManualBackend.Connection connection = fixture.backend().accept()) {
            writeHalf(connection, listener);

            connection.reset();

            assertTrue(listener.awaitEnd().startsWith("failed: "), listener.awaitEnd());
        }
    }

    // Guards against the same where the answer is not being read, as its caller is slow.
    @Test
    public void should_fail_answer_without_length_when_connection_is_reset_while_reading_is_paused() throws Exception {
        RecordingExchangeListener listener = new RecordingExchangeListener();
        Exchange exchange = fixture.send(LONG_BODY_BYTES, listener);
        try (ManualBackend.Connection connection = fixture.backend().accept()) {
            writeHalf(connection, listener);
            fixture.onEventLoop(() -> exchange.setReading(false));

            connection.reset();
            fixture.onEventLoop(() -> exchange.setReading(true));

            assertTrue(listener.awaitEnd().startsWith("failed: "), listener.awaitEnd());
        }
    }

    // Guards against the same where a part of the answer has arrived and is read only after the reset: once a write has
    // reported the reset, reads return that part and then a plain end.
    @Test
    public void should_fail_answer_without_length_when_an_unread_part_precedes_the_reset() throws Exception {
        RecordingExchangeListener listener = new RecordingExchangeListener();
        Exchange exchange = fixture.send(LONG_BODY_BYTES, listener);
        try (ManualBackend.Connection connection = fixture.backend().accept()) {
            writeHalf(connection, listener);
            fixture.onEventLoop(() -> exchange.setReading(false));
            connection.write(" and some more");

            connection.reset();
            fixture.onEventLoop(() -> exchange.setReading(true));

            assertTrue(listener.awaitEnd().startsWith("failed: "), listener.awaitEnd());
        }
    }

    // Guards against the same where head, part and reset arrive together.
    @Test
    public void should_fail_answer_without_length_when_the_reset_follows_at_once() throws Exception {
        for (int attempt = 0; attempt < RESETS_AT_ONCE; attempt++) {
            RecordingExchangeListener listener = new RecordingExchangeListener();
            fixture.send(LONG_BODY_BYTES, listener);
            try (ManualBackend.Connection connection = fixture.backend().accept()) {
                connection.readHead();
                connection.write(BackendFixture.HEAD_WITHOUT_LENGTH + "half of it");

                connection.reset();

                assertTrue(listener.awaitEnd().startsWith("failed: "), listener.awaitEnd());
            }
        }
    }

    // Guards against an answer that looks complete because this entry itself closes its connections.
    @Test
    public void should_not_complete_answer_without_length_when_event_loop_ends() throws Exception {
        RecordingExchangeListener listener = new RecordingExchangeListener();
        fixture.send(0, listener);
        try (ManualBackend.Connection connection = fixture.backend().accept()) {
            writeHalf(connection, listener);

            fixture.endEventLoop();

            assertTrue(listener.awaitEnd().startsWith("failed: "), listener.awaitEnd());
        }
    }

    // Guards against losing an answer that is complete although part of the request has not been read.
    @Test
    public void should_complete_answer_without_length_when_server_ends_it_before_reading_request() throws Exception {
        RecordingExchangeListener listener = new RecordingExchangeListener();
        fixture.send(LONG_BODY_BYTES, listener);
        try (ManualBackend.Connection connection = fixture.backend().accept()) {
            connection.readHead();
            connection.write(BackendFixture.HEAD_WITHOUT_LENGTH + "all of it");
            connection.endOutput();

            assertEquals(listener.awaitEnd(), RecordingExchangeListener.COMPLETED);
            assertEquals(listener.body(), "all of it");
        }
    }

    // Guards against a connection that stays open, and counts against the server's limit, after the server has left it.
    @Test
    public void should_close_connection_when_server_ends_its_output_without_answer() throws Exception {
        RecordingExchangeListener listener = new RecordingExchangeListener();
        fixture.send(0, listener);
        try (ManualBackend.Connection connection = fixture.backend().accept()) {
            connection.readHead();

            connection.endOutput();

            assertEquals(listener.awaitEnd(), "failed: the server closed the connection");
            assertEquals(connection.readToEnd(), 0);
        }
    }

    // Guards against a request that is lost because it is sent on a connection that the server has left.
    @Test
    public void should_not_reuse_connection_when_server_has_ended_its_output() throws Exception {
        RecordingExchangeListener first = new RecordingExchangeListener();
        fixture.send(0, first);
        try (ManualBackend.Connection connection = fixture.backend().accept()) {
            connection.readHead();
            connection.write(BackendFixture.COMPLETE_ANSWER);
            connection.endOutput();
            assertEquals(first.awaitEnd(), RecordingExchangeListener.COMPLETED);
            assertEquals(connection.readToEnd(), 0);
        }

        RecordingExchangeListener second = new RecordingExchangeListener();
        fixture.send(0, second);
        try (ManualBackend.Connection connection = fixture.backend().accept()) {
            connection.readHead();
            connection.write(BackendFixture.COMPLETE_ANSWER);

            assertEquals(second.awaitEnd(), RecordingExchangeListener.COMPLETED);
        }
    }

    @DataProvider
    public Object[][] endlessBytes() {
        String otherAnswer = HttpText.head("HTTP/1.1 200 OK", "Test-Id: other", "Content-Length: 5") + "other";
        String chunkedHead = HttpText.head(
                "HTTP/1.1 200 OK",
                "Test-Id: " + BackendFixture.REQUEST_ID,
                "Test-Signed: by one",
                "Transfer-Encoding: chunked");
        return new Object[][] {
            {"a status line", "HTTP/1.1 200 ", "O".repeat(LINE_BYTES)},
            {"a header", "HTTP/1.1 200 OK\r\nX: ", "x".repeat(LINE_BYTES)},
            {"headers", "HTTP/1.1 200 OK\r\n", "X: x\r\n".repeat(LINE_BYTES)},
            {"empty lines before the head", "", "\r\n".repeat(LINE_BYTES)},
            {"informational heads", "", "HTTP/1.1 102 Processing\r\n\r\n".repeat(LINE_BYTES)},
            {"answers to another request", "", otherAnswer.repeat(LINE_BYTES)},
            {"a body without length", BackendFixture.HEAD_WITHOUT_LENGTH, "x".repeat(LINE_BYTES)},
            {"chunks", chunkedHead, HttpText.chunk("x").repeat(LINE_BYTES)},
            {"a chunk's length", chunkedHead, "0".repeat(LINE_BYTES)},
            {"trailers", chunkedHead + "0\r\n", "X: x\r\n".repeat(LINE_BYTES)},
        };
    }

    // Guards against a connection that receives bytes without end, for as long as the server sends them.
    @Test(dataProvider = "endlessBytes")
    public void should_close_connection_when_bytes_have_no_end(String what, String beginning, String repeated)
            throws Exception {
        RecordingExchangeListener listener = new RecordingExchangeListener();
        fixture.send(0, listener);
        try (ManualBackend.Connection connection = fixture.backend().accept()) {
            connection.readHead();
            connection.write(beginning);

            assertTrue(connection.isClosedWhileWriting(repeated, ENDLESS_BYTES), what);

            assertTrue(listener.awaitEnd().startsWith("failed: "), listener.awaitEnd());
        }
    }

    // Guards against bytes on an unused connection that the decoder takes for the beginning of the next answer.
    @Test
    public void should_close_unused_connection_when_server_sends_bytes() throws Exception {
        RecordingExchangeListener listener = new RecordingExchangeListener();
        fixture.send(0, listener);
        try (ManualBackend.Connection connection = fixture.backend().accept()) {
            connection.readHead();
            connection.write(BackendFixture.COMPLETE_ANSWER);
            assertEquals(listener.awaitEnd(), RecordingExchangeListener.COMPLETED);

            connection.write("HTTP/1.1 2");

            assertEquals(connection.readToEnd(), 0);
        }
    }

    // Guards against losing an answer because a late answer to an earlier request arrives before it.
    @Test
    public void should_complete_answer_when_it_follows_long_answer_to_another_request() throws Exception {
        RecordingExchangeListener listener = new RecordingExchangeListener();
        fixture.send(0, listener);
        try (ManualBackend.Connection connection = fixture.backend().accept()) {
            connection.readHead();
            connection.write(HttpText.head("HTTP/1.1 200 OK", "Test-Id: other", "Content-Length: 500000")
                    + "x".repeat(500_000)
                    + BackendFixture.COMPLETE_ANSWER);

            assertEquals(listener.awaitEnd(), RecordingExchangeListener.COMPLETED);
            assertEquals(listener.body(), "ok");
        }
    }

    /** Answers a request with half of an answer without a length, and waits until it has been received. */
    private static void writeHalf(ManualBackend.Connection connection, RecordingExchangeListener listener)
            throws Exception {
        connection.readHead();
        connection.write(BackendFixture.HEAD_WITHOUT_LENGTH + "half of it");
        listener.awaitPart();
    }
}
