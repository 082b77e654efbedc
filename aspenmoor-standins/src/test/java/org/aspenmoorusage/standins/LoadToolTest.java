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

/** The load tool against an engine in place of an entry: it must report every fault and nothing else. */
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
    public void should_report_no_fault_when_all_answers_are_complete() throws Exception {
        LoadReport report = load();

        assertFalse(report.faulty());
        assertEquals(sum(report, "sent"), 40);
        assertEquals(sum(report, "answered"), 40);
    }

    @Test
    public void should_report_a_broken_answer_when_a_truncated_stream_ends_regularly() throws Exception {
        // An engine stops early and ends its stream regularly. Only the text shows that the answer is incomplete.
        StandinCalls.post(server.address().resolve("/standin/faults"), "{\"truncateStreamAfterTokens\":3}");

        LoadReport report = load();

        assertTrue(report.faulty());
        assertEquals(sum(report, "broken"), 1);
    }

    @Test
    public void should_report_a_cut_answer_when_the_connection_breaks() throws Exception {
        // An entry is killed during a stream. Its caller sees the broken connection and may retry.
        StandinCalls.post(server.address().resolve("/standin/faults"), "{\"cutStreamAfterTokens\":3}");

        LoadReport report = load();

        assertTrue(report.anyCut());
        assertEquals(sum(report, "cut"), 1);
        assertEquals(sum(report, "broken"), 0);
    }

    @Test
    public void should_report_a_broken_answer_when_a_token_is_wrong() throws Exception {
        StandinCalls.post(server.address().resolve("/standin/faults"), "{\"wrongTokenAt\":2}");

        assertEquals(sum(load(), "broken"), 1);
    }

    @Test
    public void should_report_a_fault_when_a_refused_request_has_run() throws Exception {
        // A process answers "not run" although the engine has run the request: the caller would send it to another
        // entry.
        try (StandinServer proxy = new StandinServer(0, this::runAndRefuse)) {
            proxy.start();

            LoadReport report = run(proxy);

            assertTrue(report.faulty());
            assertTrue(sum(report, "refusedButRan") > 0);
        }
    }

    private void runAndRefuse(Call call) throws IOException {
        try {
            String path = call.path();
            if (path.startsWith("/v1/")) {
                StandinCalls.post(server.address().resolve(path), call.body());
            }
            call.respondError(429, "Not run (wrong on purpose).");
        } catch (InterruptedException interrupted) {
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
