package org.aspenmoorusage.standins;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import org.aspenmoor.internal.standins.http.StandinServer;
import org.aspenmoor.internal.standins.service.ServiceStandin;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The service stand-in, called as an agent calls it. */
public class ServiceStandinTest {
    private StandinServer server;

    @BeforeMethod
    public void start() throws IOException {
        server = new StandinServer(0, new ServiceStandin("studio-desk-1", "incarnation-1", 16));
        server.start();
    }

    @AfterMethod
    public void stop() {
        server.close();
    }

    @Test
    public void should_report_a_record_as_accepted_when_it_was_created() throws Exception {
        JsonNode created = StandinCalls.parse(
                StandinCalls.post(at("/bookings"), "{\"booth\":3}").body());

        String id = created.path("id").asText();
        assertEquals(StandinCalls.get(at("/status/" + id)).path("state").asText(), "accepted");
    }

    @Test
    public void should_record_both_executions_when_an_idempotency_key_is_reused() throws Exception {
        StandinCalls.post(at("/filings"), "{\"sheet\":1}", "Idempotency-Key", "key-1");
        StandinCalls.post(at("/filings"), "{\"sheet\":1}", "Idempotency-Key", "key-1");

        JsonNode executions = StandinCalls.get(at("/standin/ledger")).path("executions");
        assertEquals(executions.size(), 2);
        assertEquals(executions.path(1).path("idempotencyKey").asText(), "key-1");
    }

    @Test
    public void should_execute_a_call_when_its_answer_is_lost() throws Exception {
        // The service books a booth and its answer is lost: a caller that retries books a second one.
        StandinCalls.post(at("/standin/faults"), "{\"loseAnswers\":1}");

        assertThrows(IOException.class, () -> StandinCalls.post(at("/bookings"), "{\"booth\":3}"));
        assertEquals(StandinCalls.get(at("/standin/ledger")).path("executions").size(), 1);
    }

    private URI at(String path) {
        return server.address().resolve(path);
    }
}
