package org.aspenmoor.internal.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.time.Duration;
import java.util.List;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.finding.FindingsException;
import org.testng.annotations.Test;

public class SettingsReaderTest {
    private static final String ENTRY = """
            {
              // An entry in the first data centre.
              "role": "entry",
              "process": "entry-1",
              "dataCentre": "almaty-1",
              "store": "http://127.0.0.1:8001",
            }""";

    @Test
    public void should_accept_comments_and_apply_defaults() throws AspenmoorException {
        EntrySettings settings = (EntrySettings) new SettingsReader().read("entry.json", ENTRY);

        assertEquals(settings.process().name(), "entry-1");
        assertEquals(settings.leavingBound(), Duration.ofSeconds(3));
        assertEquals(settings.process().logFormat(), LogFormat.TEXT);
    }

    @Test
    public void should_report_all_mistakes_with_their_places() {
        String text = """
                {
                  "role": "entry",
                  "process": "entry-1",
                  "dataCentre": 7,
                  "store": "ftp://127.0.0.1",
                  "httpPort": 70000,
                  "chunkCredit": 2.5,
                  "logFormat": "xml",
                  "colour": "red"
                }""";

        FindingsException mistakes =
                expectThrows(FindingsException.class, () -> new SettingsReader().read("entry.json", text));

        List<String> places = mistakes.findings().stream()
                .map(finding ->
                        finding.location().line() + " " + finding.location().path())
                .sorted()
                .toList();
        assertEquals(
                places, List.of("4 dataCentre", "5 store", "6 httpPort", "7 chunkCredit", "8 logFormat", "9 colour"));
    }

    @Test
    public void should_reject_equal_http_and_link_ports() {
        String text = ENTRY.replace("\"role\"", "\"httpPort\": 8080, \"linkPort\": 8080, \"role\"");

        FindingsException mistakes =
                expectThrows(FindingsException.class, () -> new SettingsReader().read("entry.json", text));

        assertEquals(mistakes.findings().getFirst().location().path(), "linkPort");
    }

    @Test
    public void should_require_a_backend_when_the_role_is_agent() {
        String text = ENTRY.replace("\"entry\"", "\"agent\"");

        FindingsException mistakes =
                expectThrows(FindingsException.class, () -> new SettingsReader().read("agent.json", text));

        assertTrue(mistakes.getMessage().contains("backend"));
    }

    @Test
    public void should_reject_an_unknown_role() {
        assertThrows(
                FindingsException.class,
                () -> new SettingsReader().read("x.json", ENTRY.replace("\"entry\"", "\"sentry\"")));
    }
}
