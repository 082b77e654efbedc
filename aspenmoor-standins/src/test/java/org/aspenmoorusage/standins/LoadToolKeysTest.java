package org.aspenmoorusage.standins;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.aspenmoor.internal.document.DocumentReader;
import org.aspenmoor.internal.document.ServiceDocument;
import org.aspenmoor.internal.finding.Findings;
import org.aspenmoor.internal.standins.http.Call;
import org.aspenmoor.internal.standins.http.StandinServer;
import org.aspenmoor.internal.standins.load.LoadReport;
import org.aspenmoor.internal.standins.load.LoadRun;
import org.aspenmoor.internal.standins.load.LoadSettings;
import org.aspenmoor.internal.standins.service.ServiceStandin;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Repeated calls of the load tool with the same idempotency key, sent to a proxy in place of an entry. */
public class LoadToolKeysTest {
    private static final String PREFIX = "/services/studio-desk";

    private final Map<String, String> answersByKey = new ConcurrentHashMap<>();
    private StandinServer service;

    @BeforeMethod
    public void start() throws IOException {
        answersByKey.clear();
        service = new StandinServer(0, new ServiceStandin("studio-desk-1", "incarnation-1", 16));
        service.start();
    }

    @AfterMethod
    public void stop() {
        service.close();
    }

    @Test
    public void should_report_a_fault_when_a_call_runs_twice_under_the_same_key() throws Exception {
        // The proxy forwards every call and ignores the key, so that a booking is executed twice.
        try (StandinServer proxy = new StandinServer(0, call -> forward(call, false))) {
            LoadReport report = run(proxy);

            assertTrue(report.faulty());
            assertTrue(sum(report, "doubled") > 0);
            assertTrue(sum(report, "broken") > 0);
        }
    }

    @Test
    public void should_report_no_fault_when_a_key_returns_the_recorded_answer() throws Exception {
        try (StandinServer proxy = new StandinServer(0, call -> forward(call, true))) {
            LoadReport report = run(proxy);

            assertFalse(report.faulty());
            assertEquals(sum(report, "answered"), sum(report, "sent"));
            assertTrue(sum(report, "sent") > 40);
        }
    }

    private void forward(Call call, boolean replaysRecordedAnswers) throws IOException {
        try {
            String path = call.path().substring(PREFIX.length());
            if (call.method().equals("GET")) {
                call.respond(200, StandinCalls.get(service.address().resolve(path)));
                return;
            }
            String key = call.header("Idempotency-Key").orElse("");
            String recorded = replaysRecordedAnswers && !key.isEmpty() ? answersByKey.get(key) : null;
            if (recorded != null) {
                call.respond(201, StandinCalls.parse(recorded));
                return;
            }
            HttpResponse<String> answer = StandinCalls.post(service.address().resolve(path), call.body());
            answersByKey.put(key, answer.body());
            call.respond(answer.statusCode(), StandinCalls.parse(answer.body()));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private LoadReport run(StandinServer entry) throws IOException, InterruptedException {
        entry.start();
        ServiceDocument document = new DocumentReader(new Findings())
                .read("example", Files.readString(Path.of("..", "examples", "seitkali-studio-desk.json")))
                .orElseThrow();
        return new LoadRun(new LoadSettings(
                        List.of(entry.address()),
                        List.of(service.address()),
                        "token",
                        List.of(document),
                        40,
                        4,
                        1,
                        Duration.ofSeconds(30),
                        true,
                        7))
                .run();
    }

    private static int sum(LoadReport report, String field) {
        int sum = 0;
        for (JsonNode kind : report.toJson().path("kinds")) {
            sum += kind.path(field).asInt();
        }
        return sum;
    }
}
