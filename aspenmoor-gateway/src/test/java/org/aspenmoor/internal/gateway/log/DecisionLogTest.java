package org.aspenmoor.internal.gateway.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class DecisionLogTest {
    private ManualTimeSource time;
    private ByteArrayOutputStream written;
    private DecisionLog log;

    @BeforeMethod
    public void setUp() {
        time = new ManualTimeSource();
        written = new ByteArrayOutputStream();
        log = new DecisionLog(time, "entry-1", new PrintStream(written, true, StandardCharsets.UTF_8));
    }

    @Test
    public void should_write_one_json_line_when_decision_is_logged() {
        log.notable("server-gone").with("server", "one").with("age", 3).write();
        log.flush();

        assertEquals(
                lines(),
                List.of("{\"time\":\"2026-01-01T00:00:00Z\",\"process\":\"entry-1\",\"event\":\"server-gone\","
                        + "\"server\":\"one\",\"age\":3}"));
    }

    // Thousands of requests per second succeed while some fail. Lines about successful requests must neither flood
    // the output nor displace lines about failures.
    @Test
    public void should_keep_notable_lines_when_routine_lines_exceed_rate() {
        for (int request = 0; request < 5000; request++) {
            log.routine("request-ended").with("request", request).write();
        }
        log.notable("request-ended").with("outcome", "UNKNOWN").write();
        log.flush();

        assertTrue(lines().size() < 200, "lines: " + lines().size());
        assertTrue(lines().getLast().contains("UNKNOWN"));
        assertTrue(log.droppedLines() > 4000);
    }

    @Test
    public void should_report_dropped_lines_when_next_line_is_written() {
        for (int request = 0; request < 500; request++) {
            log.routine("request-ended").write();
        }
        log.flush();
        long dropped = log.droppedLines();
        time.advance(Duration.ofSeconds(10));
        log.routine("request-ended").write();
        log.flush();

        assertTrue(dropped > 0);
        assertTrue(lines().getLast().contains("\"leftOut\":" + dropped), lines().getLast());
    }

    private List<String> lines() {
        return written.toString(StandardCharsets.UTF_8).lines().toList();
    }
}
