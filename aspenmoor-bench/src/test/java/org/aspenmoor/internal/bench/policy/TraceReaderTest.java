package org.aspenmoor.internal.bench.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.bench.policy.fleet.BuiltInFleets;
import org.aspenmoor.internal.bench.policy.run.RunResult;
import org.aspenmoor.internal.bench.policy.trace.Trace;
import org.aspenmoor.internal.bench.policy.trace.TraceReader;
import org.aspenmoor.internal.finding.FindingsException;
import org.testng.annotations.Test;

public class TraceReaderTest {
    @Test
    public void should_run_trace_read_from_file() throws IOException, AspenmoorException {
        Path file = temporaryFile("""
                {"arrivalSeconds":0.1,"kind":"cue","promptTokens":900,"outputTokens":80,"prefix":"scene-7","prefixTokens":600}
                {"atSeconds":0.5,"withdrawEngine":0}

                {"arrivalSeconds":1.5,"kind":"note","promptTokens":300,"outputTokens":200}
                """);
        Trace trace = new TraceReader(BuiltInFleets.seitkali()).read(file);
        RunResult result = new PolicyRunner(BuiltInFleets.seitkali(), trace, 1).run(PolicyName.ASPENMOOR);

        assertEquals(trace.incidents().size(), 1);
        assertEquals(result.completed(), 2);
    }

    @Test
    public void should_report_every_mistake_with_its_line_number() throws IOException {
        Path file = temporaryFile("""
                {"arrivalSeconds":0.1,"kind":"unknown","promptTokens":900,"outputTokens":80}
                {"arrivalSeconds":0.2,"kind":"cue","outputTokens":80}
                """);
        FindingsException mistakes =
                expectThrows(FindingsException.class, () -> new TraceReader(BuiltInFleets.seitkali()).read(file));

        assertEquals(mistakes.findings().size(), 2);
        assertTrue(mistakes.findings().getLast().location().toString().contains("line 2"));
    }

    @Test
    public void should_fail_when_trace_file_is_missing() {
        assertThrows(
                AspenmoorException.class,
                () -> new TraceReader(BuiltInFleets.seitkali()).read(Path.of("no-such-trace.jsonl")));
    }

    private static Path temporaryFile(String text) throws IOException {
        Path file = Files.createTempFile("trace", ".jsonl");
        file.toFile().deleteOnExit();
        return Files.writeString(file, text);
    }
}
