package org.aspenmoor.internal.gateway.backend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.gateway.eventloop.LongRoundTask;
import org.aspenmoor.internal.gateway.protocol.AnswerMetadata;
import org.aspenmoor.internal.gateway.standin.HttpText;
import org.aspenmoor.internal.gateway.standin.ManualBackend;
import org.aspenmoor.internal.gateway.standin.TestProtocols;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.BackendState;
import org.aspenmoor.internal.serving.SoftwareVersion;
import org.aspenmoor.internal.time.SystemTimeSource;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class AnswerEndTest {
    private static final long TIMEOUT_SECONDS = 60;
    private static final String ID = "r1";

    /** Larger than the buffers of a loopback connection, so that part of the request stays unsent. */
    private static final int LONG_BODY_BYTES = 64 * 1024 * 1024;

    /** More than the buffers of a loopback connection hold, so that a server that writes them notices a close. */
    private static final long ENDLESS_BYTES = 64L * 1024 * 1024;

    private static final int LINE_BYTES = 4096;

    private static final String HEAD_WITHOUT_LENGTH =
            HttpText.head("HTTP/1.1 200 OK", "Test-Id: " + ID, "Test-Signed: by one");

    private EventLoopGroup group;
    private EventLoop eventLoop;
    private ManualBackend backend;
    private BackendConnections connections;

    @BeforeMethod
    public void start() throws IOException {
        group = new NioEventLoopGroup(1);
        eventLoop = group.next();
        backend = new ManualBackend();
        SystemTimeSource time = new SystemTimeSource();
        LongRoundTask longRoundTask = new LongRoundTask(eventLoop, time, Duration.ofSeconds(1), () -> {});
        connections = new BackendConnections(
                new TestProtocols(), eventLoop, time, service -> 2, new IndifferentObserver(), longRoundTask);
    }

    @AfterMethod
    public void stop() throws IOException {
        backend.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    // Guards against an answer that a reset has cut off and that looks complete, as the reset is noticed by a write.
    @Test
    public void should_fail_answer_without_length_when_connection_is_reset_before_request_is_written()
            throws Exception {
        RecordingExchangeListener listener = new RecordingExchangeListener();
        send(LONG_BODY_BYTES, listener);
        try (ManualBackend.Connection connection = backend.accept()) {
            connection.readHead();
            connection.write(HEAD_WITHOUT_LENGTH + "half of it");
            listener.awaitPart();

            connection.reset();

            assertTrue(listener.awaitEnd().startsWith("failed: "), listener.awaitEnd());
        }
    }

    // Guards against the same where the reset is noticed by a read.
    @Test
    public void should_fail_answer_without_length_when_connection_is_reset_after_request_was_written()
            throws Exception {
        RecordingExchangeListener listener = new RecordingExchangeListener();
        send(0, listener);
        try (ManualBackend.Connection connection = backend.accept()) {
            connection.readHead();
            connection.write(HEAD_WITHOUT_LENGTH + "half of it");
            listener.awaitPart();

            connection.reset();

            assertTrue(listener.awaitEnd().startsWith("failed: "), listener.awaitEnd());
        }
    }

    // Guards against the same where the answer is not being read, as its caller is slow.
    @Test
    public void should_fail_answer_without_length_when_connection_is_reset_while_reading_is_paused() throws Exception {
        RecordingExchangeListener listener = new RecordingExchangeListener();
        Exchange exchange = send(LONG_BODY_BYTES, listener);
        try (ManualBackend.Connection connection = backend.accept()) {
            connection.readHead();
            connection.write(HEAD_WITHOUT_LENGTH + "half of it");
            listener.awaitPart();
            onEventLoop(() -> exchange.setReading(false));

            connection.reset();
            onEventLoop(() -> exchange.setReading(true));

            assertTrue(listener.awaitEnd().startsWith("failed: "), listener.awaitEnd());
        }
    }

    // Guards against an answer that looks complete because this entry itself closes its connections.
    @Test
    public void should_not_complete_answer_without_length_when_event_loop_ends() throws Exception {
        RecordingExchangeListener listener = new RecordingExchangeListener();
        send(0, listener);
        try (ManualBackend.Connection connection = backend.accept()) {
            connection.readHead();
            connection.write(HEAD_WITHOUT_LENGTH + "half of it");
            listener.awaitPart();

            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);

            assertTrue(listener.awaitEnd().startsWith("failed: "), listener.awaitEnd());
        }
    }

    // Guards against losing an answer that is complete although part of the request has not been read.
    @Test
    public void should_complete_answer_without_length_when_server_ends_it_before_reading_request() throws Exception {
        RecordingExchangeListener listener = new RecordingExchangeListener();
        send(LONG_BODY_BYTES, listener);
        try (ManualBackend.Connection connection = backend.accept()) {
            connection.readHead();
            connection.write(HEAD_WITHOUT_LENGTH + "all of it");
            connection.endOutput();

            assertEquals(listener.awaitEnd(), RecordingExchangeListener.COMPLETED);
            assertEquals(listener.body(), "all of it");
        }
    }

    // Guards against a connection that stays open, and counts against the server's limit, after the server has left it.
    @Test
    public void should_close_connection_when_server_ends_its_output_without_answer() throws Exception {
        RecordingExchangeListener listener = new RecordingExchangeListener();
        send(0, listener);
        try (ManualBackend.Connection connection = backend.accept()) {
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
        send(0, first);
        try (ManualBackend.Connection connection = backend.accept()) {
            connection.readHead();
            connection.write(completeAnswer());
            connection.endOutput();
            assertEquals(first.awaitEnd(), RecordingExchangeListener.COMPLETED);
            assertEquals(connection.readToEnd(), 0);
        }

        RecordingExchangeListener second = new RecordingExchangeListener();
        send(0, second);
        try (ManualBackend.Connection connection = backend.accept()) {
            connection.readHead();
            connection.write(completeAnswer());

            assertEquals(second.awaitEnd(), RecordingExchangeListener.COMPLETED);
        }
    }

    @DataProvider
    public Object[][] endlessBytes() {
        String otherAnswer = HttpText.head("HTTP/1.1 200 OK", "Test-Id: other", "Content-Length: 5") + "other";
        String chunkedHead =
                HttpText.head("HTTP/1.1 200 OK", "Test-Id: " + ID, "Test-Signed: by one", "Transfer-Encoding: chunked");
        return new Object[][] {
            {"a status line", "HTTP/1.1 200 ", "O".repeat(LINE_BYTES)},
            {"a header", "HTTP/1.1 200 OK\r\nX: ", "x".repeat(LINE_BYTES)},
            {"headers", "HTTP/1.1 200 OK\r\n", "X: x\r\n".repeat(LINE_BYTES)},
            {"empty lines before the head", "", "\r\n".repeat(LINE_BYTES)},
            {"informational heads", "", "HTTP/1.1 102 Processing\r\n\r\n".repeat(LINE_BYTES)},
            {"answers to another request", "", otherAnswer.repeat(LINE_BYTES)},
            {"a body without length", HEAD_WITHOUT_LENGTH, "x".repeat(LINE_BYTES)},
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
        send(0, listener);
        try (ManualBackend.Connection connection = backend.accept()) {
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
        send(0, listener);
        try (ManualBackend.Connection connection = backend.accept()) {
            connection.readHead();
            connection.write(completeAnswer());
            assertEquals(listener.awaitEnd(), RecordingExchangeListener.COMPLETED);

            connection.write("HTTP/1.1 2");

            assertEquals(connection.readToEnd(), 0);
        }
    }

    // Guards against losing an answer because a late answer to an earlier request arrives before it.
    @Test
    public void should_complete_answer_when_it_follows_long_answer_to_another_request() throws Exception {
        RecordingExchangeListener listener = new RecordingExchangeListener();
        send(0, listener);
        try (ManualBackend.Connection connection = backend.accept()) {
            connection.readHead();
            connection.write(HttpText.head("HTTP/1.1 200 OK", "Test-Id: other", "Content-Length: 500000")
                    + "x".repeat(500_000)
                    + completeAnswer());

            assertEquals(listener.awaitEnd(), RecordingExchangeListener.COMPLETED);
            assertEquals(listener.body(), "ok");
        }
    }

    private Exchange send(int bodyBytes, ExchangeListener listener) throws Exception {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.POST, "/book/a", Unpooled.wrappedBuffer(new byte[bodyBytes]));
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
        BackendServer server = new BackendServer(
                "one",
                1,
                "service",
                new SoftwareVersion("one"),
                "127.0.0.1",
                backend.port(),
                "here",
                4,
                BackendState.READY,
                EngineRole.WHOLE);
        return eventLoop
                .submit(() -> connections.send(server, ID, request, listener))
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private void onEventLoop(Runnable task) throws Exception {
        eventLoop.submit(task).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static String completeAnswer() {
        return HttpText.head("HTTP/1.1 200 OK", "Test-Id: " + ID, "Test-Signed: by one", "Content-Length: 2") + "ok";
    }

    private static final class IndifferentObserver implements ServerObserver {
        @Override
        public Optional<String> callRefusal(BackendServer server) {
            return Optional.empty();
        }

        @Override
        public void callSent(BackendServer server) {
            // No test depends on it.
        }

        @Override
        public void answerReceived(BackendServer server, AnswerMetadata metadata, long sentAt) {
            // No test depends on it.
        }
    }
}
