package org.aspenmoor.internal.gateway.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.testng.annotations.Test;

public class DependencyLogTest {
    // The store is unresponsive for seconds and every call to it fails. One line per call would give hundreds of
    // equal lines, which do not show when the store was available again.
    @Test
    public void should_write_one_line_each_when_dependency_is_lost_and_restored() {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        DecisionLog log =
                new DecisionLog(new ManualTimeSource(), "one", new PrintStream(written, true, StandardCharsets.UTF_8));
        DependencyLog servers = new DependencyLog(log, "servers");

        servers.restored();
        servers.lost("no answer");
        servers.lost("no answer");
        servers.lost("refused");
        servers.restored();
        servers.restored();
        log.flush();

        List<String> lines = written.toString(StandardCharsets.UTF_8).lines().toList();
        assertEquals(lines.size(), 2, lines.toString());
        assertTrue(lines.get(0).contains("store-lost") && lines.get(0).contains("no answer"), lines.get(0));
        assertTrue(lines.get(1).contains("store-back") && lines.get(1).contains("\"failedCalls\":3"), lines.get(1));
    }
}
