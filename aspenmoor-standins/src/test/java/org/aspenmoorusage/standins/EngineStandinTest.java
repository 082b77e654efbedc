package org.aspenmoorusage.standins;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpResponse;
import java.util.List;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.standins.engine.DeterministicText;
import org.aspenmoor.internal.standins.engine.EngineSettings;
import org.aspenmoor.internal.standins.engine.EngineStandin;
import org.aspenmoor.internal.standins.http.StandinServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** The engine stand-in, called as an agent calls it. */
public class EngineStandinTest {
    private static final long LONG_ROLE_CHANGE_MILLISECONDS = 600_000;

    private StandinServer server;

    @AfterMethod
    public void stop() {
        server.close();
    }

    @Test
    public void should_stream_the_complete_text_and_the_end_mark() throws Exception {
        start(false, 0);

        HttpResponse<String> answer = complete("\"max_tokens\":12");

        assertEquals(textOf(answer.body()), DeterministicText.text("scene-drafter", "cues", "Rain.", 0, 12));
        assertTrue(answer.body().endsWith("data: [DONE]\n\n"));
    }

    @Test
    public void should_resume_at_the_requested_token() throws Exception {
        start(false, 0);

        HttpResponse<String> answer = complete("\"max_tokens\":12,\"resume\":{\"tokens\":5}");

        assertEquals(textOf(answer.body()), DeterministicText.text("scene-drafter", "cues", "Rain.", 5, 12));
    }

    @Test
    public void should_record_every_run_in_the_ledger() throws Exception {
        start(false, 0);
        complete("\"max_tokens\":12");

        JsonNode run = get("/standin/ledger").path("requests").path(0);

        assertEquals(run.path("requestId").asText(), "request-1");
        assertEquals(run.path("attempt").asText(), "2");
        assertEquals(run.path("tokensSent").asInt(), 12);
        assertEquals(run.path("end").asText(), "COMPLETED");
    }

    @Test
    public void should_refuse_an_order_when_its_fencing_number_is_outdated_or_another_order_runs() throws Exception {
        // A planner that was paused until after its lease expired sends an order late. The engine has already seen the
        // fencing number of its successor.
        start(false, LONG_ROLE_CHANGE_MILLISECONDS);

        assertEquals(order("first", 7), 202);
        assertEquals(order("late", 6), 409);
        assertEquals(order("second", 8), 409);
        assertEquals(get("/control/status").path("lastOrderId").asText(), "first");
        assertFalse(get("/control/status").path("ready").asBoolean());
        assertEquals(get("/standin/ledger").path("orders").size(), 3);
    }

    @Test
    public void should_accept_an_outdated_fencing_number_when_fencing_is_ignored() throws Exception {
        start(true, 0);
        order("first", 7);
        awaitOrderEnd();

        assertEquals(order("late", 6), 202);
        assertEquals(get("/control/status").path("highestFencingNumber").asLong(), 0);
    }

    @Test
    public void should_refuse_requests_when_the_role_is_changing() throws Exception {
        start(false, LONG_ROLE_CHANGE_MILLISECONDS);
        order("first", 7);

        assertEquals(complete("\"max_tokens\":12").statusCode(), 503);
        assertEquals(get("/standin/ledger").path("requests").size(), 0);
    }

    @Test
    public void should_keep_its_role_when_a_role_change_fails() throws Exception {
        start(false, 0);
        injectFaults("{\"failOrdersHalfway\":1}");
        order("first", 7);
        awaitOrderEnd();

        JsonNode status = get("/control/status?order=first");
        assertEquals(status.path("lastOrderState").asText(), "FAILED");
        assertEquals(status.path("role").asText(), "WHOLE");
        assertEquals(get("/control/status?order=other").path("lastOrderState").asText(), "NEVER_SEEN");
    }

    @Test
    public void should_break_the_connection_when_a_stream_cut_is_injected() throws Exception {
        // An engine process terminates during an answer; the agent sees a broken connection.
        start(false, 0);
        injectFaults("{\"cutStreamAfterTokens\":3}");

        assertThrows(IOException.class, () -> complete("\"max_tokens\":12"));
        assertEquals(get("/standin/ledger").path("requests").path(0).path("end").asText(), "CUT");
    }

    @Test
    public void should_end_a_stream_regularly_when_a_truncation_is_injected() throws Exception {
        start(false, 0);
        injectFaults("{\"truncateStreamAfterTokens\":3}");

        HttpResponse<String> answer = complete("\"max_tokens\":12");

        assertEquals(textOf(answer.body()), DeterministicText.text("scene-drafter", "cues", "Rain.", 0, 3));
        assertTrue(answer.body().endsWith("data: [DONE]\n\n"));
    }

    private void start(boolean ignoresFencing, long roleChangeMilliseconds) throws IOException {
        EngineSettings settings = new EngineSettings(
                "drafting-1", EngineRole.WHOLE, ignoresFencing, roleChangeMilliseconds, 0, 1e9, 4, 100, List.of());
        server = new StandinServer(0, new EngineStandin(settings, "incarnation-1"));
        server.start();
    }

    private HttpResponse<String> complete(String fields) throws IOException, InterruptedException {
        String body = "{\"model\":\"scene-drafter:cues\",\"prompt\":\"Rain.\",\"stream\":true," + fields + "}";
        return StandinCalls.post(at("/v1/completions"), body, "X-Request-Id", "request-1", "X-Attempt", "2");
    }

    private int order(String id, long fencingNumber) throws IOException, InterruptedException {
        String body = "{\"orderId\":\"" + id + "\",\"fencingNumber\":" + fencingNumber
                + ",\"type\":\"changeRole\",\"role\":\"DECODE\"}";
        return StandinCalls.post(at("/control/orders"), body).statusCode();
    }

    private void awaitOrderEnd() throws IOException, InterruptedException {
        while (get("/control/status").path("lastOrderState").asText().equals("RUNNING")) {
            Thread.onSpinWait();
        }
    }

    private void injectFaults(String json) throws IOException, InterruptedException {
        StandinCalls.post(at("/standin/faults"), json);
    }

    private JsonNode get(String path) throws IOException, InterruptedException {
        return StandinCalls.get(at(path));
    }

    private URI at(String path) {
        return server.address().resolve(path);
    }

    private static String textOf(String events) throws IOException {
        StringBuilder text = new StringBuilder();
        for (String line : events.lines().toList()) {
            if (line.startsWith("data: {")) {
                text.append(StandinCalls.parse(line.substring("data: ".length()))
                        .path("choices")
                        .path(0)
                        .path("text")
                        .asText());
            }
        }
        return text.toString();
    }
}
