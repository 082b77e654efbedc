package org.aspenmoorusage.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.aspenmoor.Outcome;
import org.aspenmoor.RefusalReason;
import org.aspenmoor.internal.entry.CallerSink;
import org.aspenmoor.internal.entry.CallerWork;
import org.aspenmoor.internal.entry.EntryMessage;
import org.aspenmoor.internal.entry.IncomingRequest;
import org.aspenmoor.internal.entry.PlainAnswer;
import org.aspenmoor.internal.wire.v1.Header;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class CallerProtocolTest {
    private static final String STREAMED = "{\"model\": \"drafter\", \"prompt\": \"Rain.\", \"stream\": true}";

    private CallerServer server;

    @BeforeMethod
    public void startServer() throws Exception {
        server = new CallerServer();
    }

    @AfterMethod
    public void stopServer() throws Exception {
        server.close();
    }

    @Test
    public void should_stream_chunks_as_events_and_finish_with_the_end_marker() throws Exception {
        CompletableFuture<HttpResponse<String>> answer = send("/v1/completions", STREAMED);
        CallerSink sink = nextRequest().sink();
        sink.onText("rain ");
        sink.onText("falls");
        sink.onGenerationComplete("stop", 3, 2);

        HttpResponse<String> received = answer.get();

        assertEquals(received.headers().firstValue("Content-Type").orElseThrow(), "text/event-stream;charset=UTF-8");
        assertTrue(received.body().contains("\"text\":\"rain \""));
        assertTrue(received.body().contains("\"finish_reason\":\"stop\""));
        assertTrue(received.body().endsWith("data: [DONE]\n\n"));
    }

    // No engine is left that could continue the stream. The caller has received part of the answer and must be able to
    // recognise it as incomplete.
    @Test
    public void should_break_the_connection_without_an_end_marker_when_a_stream_is_aborted() throws Exception {
        HttpRequest call = server.requestTo("/v1/completions")
                .POST(BodyPublishers.ofString(STREAMED))
                .build();
        CompletableFuture<HttpResponse<InputStream>> answer =
                server.client().sendAsync(call, BodyHandlers.ofInputStream());
        CallerSink sink = nextRequest().sink();
        sink.onText("rain ");
        sink.onUnknown(new Outcome.Unknown("All attempts failed."));

        StringBuilder seen = new StringBuilder();
        boolean broken = readAll(answer.get().body(), seen);

        assertTrue(broken);
        assertFalse(seen.toString().contains("[DONE]"));
    }

    @Test
    public void should_return_a_typed_error_with_a_retry_time_when_a_request_is_refused() throws Exception {
        CompletableFuture<HttpResponse<String>> answer = send("/v1/completions", STREAMED);
        nextRequest()
                .sink()
                .onRefused(new Outcome.NotRun(RefusalReason.OVERLOADED, Duration.ofMillis(1200), "The queue is full."));

        HttpResponse<String> refused = answer.get();

        assertEquals(refused.statusCode(), 429);
        assertEquals(refused.headers().firstValue("Retry-After").orElseThrow(), "2");
        assertEquals(refused.headers().firstValue("Aspenmoor-Outcome").orElseThrow(), "not-run");
        assertTrue(refused.body().contains("\"come_back_after_milliseconds\":1200"));
    }

    @Test
    public void should_report_every_malformed_field_without_involving_the_event_loop() throws Exception {
        HttpResponse<String> refused =
                server.post("/v1/completions", "{\"prompt\": 3, \"max_tokens\": 0, \"stream\": \"yes\"}");

        assertEquals(refused.statusCode(), 400);
        for (String field : List.of("model", "prompt", "max_tokens", "stream")) {
            assertTrue(refused.body().contains("\"param\":\"" + field + "\""), field);
        }
        assertTrue(server.eventLoopReceivedNothing());
    }

    @Test
    public void should_report_the_limit_when_a_body_is_too_long() throws Exception {
        HttpResponse<String> refused = server.post("/v1/completions", "x".repeat(CallerServer.BODY_BYTES + 1));

        assertEquals(refused.statusCode(), 413);
        assertTrue(refused.body().contains(CallerServer.BODY_BYTES + " bytes"));
        assertTrue(server.eventLoopReceivedNothing());
    }

    @Test
    public void should_forward_a_call_with_its_idempotency_key_and_keep_status_and_body() throws Exception {
        HttpRequest call = server.requestTo("/services/studio-desk/bookings?booth=3")
                .header("Idempotency-Key", "key-1")
                .header("X-Narrator", "Aigerim")
                .POST(BodyPublishers.ofString("tuesday"))
                .build();
        CompletableFuture<HttpResponse<String>> answer = server.client().sendAsync(call, BodyHandlers.ofString());
        IncomingRequest request = nextRequest();
        request.sink().onPlainAnswer(new PlainAnswer(201, List.of(header("X-Booth", "3")), bytes("booked")));

        CallerWork.PlainCall forwarded = (CallerWork.PlainCall) request.work();
        assertEquals(forwarded.service(), "studio-desk");
        assertEquals(forwarded.path(), "/bookings?booth=3");
        assertEquals(request.idempotencyKey().orElseThrow(), "key-1");
        assertTrue(forwarded.headers().stream().noneMatch(sent -> sent.getName().equalsIgnoreCase("Authorization")));
        assertEquals(answer.get().statusCode(), 201);
        assertEquals(answer.get().body(), "booked");
        assertEquals(answer.get().headers().firstValue("X-Booth").orElseThrow(), "3");
    }

    // The caller closes its connection while waiting. Without the notification the engine would continue a generation
    // that nobody reads.
    @Test
    public void should_notify_the_event_loop_when_a_caller_disconnects() throws Exception {
        CompletableFuture<HttpResponse<String>> answer = send("/v1/completions", STREAMED);
        IncomingRequest request = nextRequest();

        answer.cancel(true);

        assertEquals(server.nextMessage(EntryMessage.CallerGone.class).id(), request.id());
    }

    // The caller has received a chunk and closes its connection during the stream.
    @Test
    public void should_notify_the_event_loop_when_a_caller_disconnects_during_a_stream() throws Exception {
        HttpRequest call = server.requestTo("/v1/completions")
                .POST(BodyPublishers.ofString(STREAMED))
                .build();
        CompletableFuture<HttpResponse<InputStream>> answer =
                server.client().sendAsync(call, BodyHandlers.ofInputStream());
        IncomingRequest request = nextRequest();
        request.sink().onText("rain ");
        InputStream body = answer.get().body();
        assertTrue(body.read() >= 0);

        body.close();

        assertEquals(server.nextMessage(EntryMessage.CallerGone.class).id(), request.id());
    }

    private CompletableFuture<HttpResponse<String>> send(String path, String body) {
        HttpRequest call =
                server.requestTo(path).POST(BodyPublishers.ofString(body)).build();
        return server.client().sendAsync(call, BodyHandlers.ofString());
    }

    private IncomingRequest nextRequest() throws InterruptedException {
        return server.nextMessage(EntryMessage.RequestCame.class).request();
    }

    private static boolean readAll(InputStream body, StringBuilder seen) {
        try (body) {
            int next = body.read();
            while (next >= 0) {
                seen.append((char) next);
                next = body.read();
            }
            return false;
        } catch (IOException broken) {
            return true;
        }
    }

    private static Header header(String name, String value) {
        return Header.newBuilder().setName(name).setValue(value).build();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
