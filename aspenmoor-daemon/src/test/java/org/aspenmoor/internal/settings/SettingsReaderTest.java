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
              // An entry host in the first data centre.
              "role": "entry",
              "process": "entry-1",
              "dataCentre": "almaty-1",
              "store": "http://127.0.0.1:8001",
            }""";

    @Test
    public void should_read_settings_with_comments_and_fill_in_the_rest() throws AspenmoorException {
        EntrySettings settings = (EntrySettings) new SettingsReader().read("entry.json", ENTRY);

        assertEquals(settings.process().name(), "entry-1");
        assertEquals(settings.leavingBound(), Duration.ofSeconds(3));
        assertEquals(settings.process().logFormat(), LogFormat.TEXT);
    }

    @Test
    public void should_name_every_mistake_with_its_place_at_once() {
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
    public void should_refuse_two_ports_that_clash() {
        String text = ENTRY.replace("\"role\"", "\"httpPort\": 8080, \"linkPort\": 8080, \"role\"");

        FindingsException mistakes =
                expectThrows(FindingsException.class, () -> new SettingsReader().read("entry.json", text));

        assertEquals(mistakes.findings().getFirst().location().path(), "linkPort");
    }

    @Test
    public void should_ask_an_agent_for_its_backend_server() {
        String text = ENTRY.replace("\"entry\"", "\"agent\"");

        FindingsException mistakes =
                expectThrows(FindingsException.class, () -> new SettingsReader().read("agent.json", text));

        assertTrue(mistakes.getMessage().contains("backend"));
    }

    @Test
    public void should_refuse_a_role_that_it_does_not_know() {
        assertThrows(
                FindingsException.class,
                () -> new SettingsReader().read("x.json", ENTRY.replace("\"entry\"", "\"sentry\"")));
    }
}
