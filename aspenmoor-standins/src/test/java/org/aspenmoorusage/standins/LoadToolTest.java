package org.aspenmoorusage.standins;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.aspenmoor.internal.document.DocumentReader;
import org.aspenmoor.internal.document.ServiceDocument;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.finding.Findings;
import org.aspenmoor.internal.standins.engine.EngineSettings;
import org.aspenmoor.internal.standins.engine.EngineStandin;
import org.aspenmoor.internal.standins.http.Call;
import org.aspenmoor.internal.standins.http.StandinServer;
import org.aspenmoor.internal.standins.load.LoadReport;
import org.aspenmoor.internal.standins.load.LoadRun;
import org.aspenmoor.internal.standins.load.LoadSettings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The load tool against an engine in an entry's place: it must find what is wrong and nothing else. */
public class LoadToolTest {
    private EngineStandin engine;
    private StandinServer server;

    @BeforeMethod
    public void start() throws IOException {
        EngineSettings settings =
                new EngineSettings("drafting-1", EngineRole.WHOLE, false, 0, 0, 1e9, 16, 100, List.of());
        engine = new EngineStandin(settings, "incarnation-1");
        server = new StandinServer(0, engine);
        server.start();
    }

    @AfterMethod
    public void stop() {
        server.close();
    }

    @Test
    public void should_find_all_answers_whole_where_they_are() throws Exception {
        LoadReport report = load();

        assertFalse(report.faulty());
        assertEquals(sum(report, "sent"), 40);
        assertEquals(sum(report, "answered"), 40);
    }

    @Test
    public void should_find_a_truncated_answer_that_ends_in_good_form() throws Exception {
        // An engine stops early and closes its stream properly. Only the text itself shows that a cue is cut short.
        StandinCalls.post(server.address().resolve("/standin/faults"), "{\"truncateStreamAfterTokens\":3}");

        LoadReport report = load();

        assertTrue(report.faulty());
        assertEquals(sum(report, "broken"), 1);
    }

    @Test
    public void should_tell_an_answer_whose_connection_breaks_from_a_whole_one() throws Exception {
        // An entry is killed in the middle of a stream. Its caller sees the connection break and may ask again.
        StandinCalls.post(server.address().resolve("/standin/faults"), "{\"cutStreamAfterTokens\":3}");

        LoadReport report = load();

        assertTrue(report.anyCut());
        assertEquals(sum(report, "cut"), 1);
        assertEquals(sum(report, "broken"), 0);
    }

    @Test
    public void should_find_a_wrong_token() throws Exception {
        StandinCalls.post(server.address().resolve("/standin/faults"), "{\"wrongTokenAt\":2}");

        assertEquals(sum(load(), "broken"), 1);
    }

    @Test
    public void should_find_a_refusal_of_a_request_that_ran() throws Exception {
        // A process answers "not run" although the engine has run the request: the caller would send it elsewhere.
        try (StandinServer lying = new StandinServer(0, this::runAndDeny)) {
            lying.start();

            LoadReport report = run(lying);

            assertTrue(report.faulty());
            assertTrue(sum(report, "refusedButRan") > 0);
        }
    }

    private void runAndDeny(Call call) throws IOException {
        try {
            String path = call.path();
            if (path.startsWith("/v1/")) {
                StandinCalls.post(server.address().resolve(path), call.body());
            }
            call.respondError(429, "This is not true.");
        } catch (InterruptedException stopping) {
            Thread.currentThread().interrupt();
        }
    }

    private LoadReport load() throws IOException, InterruptedException {
        return run(server);
    }

    private LoadReport run(StandinServer entry) throws IOException, InterruptedException {
        return new LoadRun(new LoadSettings(
                        List.of(entry.address()),
                        List.of(server.address()),
                        "token",
                        documents(),
                        40,
                        4,
                        1,
                        Duration.ofSeconds(30),
                        false,
                        7))
                .run();
    }

    private static List<ServiceDocument> documents() throws IOException {
        List<ServiceDocument> documents = new ArrayList<>();
        Path file = Path.of("..", "examples", "seitkali-drafting.json");
        new DocumentReader(new Findings())
                .read("example", Files.readString(file))
                .ifPresent(documents::add);
        return documents;
    }

    private static int sum(LoadReport report, String field) {
        int sum = 0;
        for (JsonNode kind : report.toJson().path("kinds")) {
            sum += kind.path(field).asInt();
        }
        return sum;
    }
}
