package org.aspenmoor.internal.gateway.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.time.SystemTimeSource;
import org.testng.annotations.Test;

public class GatewaySettingsReaderTest {
    private static final String MINIMAL_SETTINGS = """
            {
              // Settings without a default.
              "process": "entry-1", "dataCentre": "here",
              "callers": "127.0.0.1:8000", "readiness": "127.0.0.1:8001", "administration": "127.0.0.1:8002",
              "peers": "127.0.0.1:8003", "store": "http://127.0.0.1:8004"
            }""";

    @Test
    public void should_apply_defaults_when_only_names_and_addresses_are_given() throws AspenmoorException {
        GatewaySettings settings = new GatewaySettingsReader().read("entry.json", MINIMAL_SETTINGS);

        assertEquals(settings.process(), "entry-1");
        assertEquals(settings.callers().getPort(), 8000);
        assertEquals(settings.gracePeriod(), Duration.ofSeconds(8));
        assertEquals(settings.retries().window(), Duration.ofSeconds(10));
    }

    @Test
    public void should_read_duties_and_ignore_those_that_an_entry_does_not_perform() throws AspenmoorException {
        GatewaySettings settings = new GatewaySettingsReader()
                .read("entry.json", withDuties("\"names\": [\"usage\", \"other\"], \"usageWindowSeconds\": 7"));

        DutySettings duties = settings.duties().orElseThrow();
        assertTrue(duties.usage());
        assertEquals(duties.usageWindow(), Duration.ofSeconds(7));
        assertEquals(duties.receiver().getPort(), 8005);
        assertFalse(new GatewaySettingsReader()
                .read("entry.json", withDuties("\"names\": [\"other\"]"))
                .duties()
                .orElseThrow()
                .usage());
        assertTrue(new GatewaySettingsReader()
                .read("entry.json", MINIMAL_SETTINGS)
                .duties()
                .isEmpty());
    }

    // Guards against entries that share calls to the store where the settings state no bound for changes.
    @Test
    public void should_read_bounds_for_changes_in_the_store_only_when_they_are_stated() throws AspenmoorException {
        assertEquals(storeBounds(""), StoreBounds.NONE);
        Optional<Duration> three = Optional.of(Duration.ofSeconds(3));
        assertEquals(storeBounds(", \"leavingMilliseconds\": 3000"), new StoreBounds(three, three));
        assertEquals(
                storeBounds(", \"leavingMilliseconds\": 3000, \"configurationMilliseconds\": 2000"),
                new StoreBounds(Optional.of(Duration.ofSeconds(2)), three));
    }

    private static StoreBounds storeBounds(String fields) throws AspenmoorException {
        String settings = MINIMAL_SETTINGS.replace("\"entry-1\"", "\"entry-1\"" + fields);
        return new GatewaySettingsReader().read("entry.json", settings).storeBounds();
    }

    private static String withDuties(String fields) {
        return MINIMAL_SETTINGS.replace(
                "\"entry-1\"", "\"entry-1\", \"duties\": {\"address\": \"127.0.0.1:8005\", " + fields + "}");
    }

    @Test
    public void should_report_all_mistakes_with_locations_when_several_settings_are_wrong() {
        String invalid = MINIMAL_SETTINGS
                .replace("127.0.0.1:8000", "nowhere")
                .replace("http://127.0.0.1:8004", "store")
                .replace("\"entry-1\"", "17, \"graceSecond\": 8");

        AspenmoorException thrown =
                expectThrows(AspenmoorException.class, () -> new GatewaySettingsReader().read("entry.json", invalid));

        for (String location : List.of("callers", "store", "process", "graceSecond")) {
            assertTrue(thrown.getMessage().contains(location), location + " in " + thrown.getMessage());
        }
    }

    @Test
    public void should_reload_settings_once_when_the_file_changes() throws Exception {
        Path file = Files.createTempFile("entry", ".json");
        Files.writeString(file, MINIMAL_SETTINGS);
        List<GatewaySettings> reloaded = new ArrayList<>();
        SettingsReloader reloader = createReloader(file, reloaded, new ByteArrayOutputStream());

        reloader.reloadIfChanged();
        Files.writeString(file, MINIMAL_SETTINGS.replace("\"here\"", "\"here\", \"graceSeconds\": 5"));
        reloader.reloadIfChanged();
        reloader.reloadIfChanged();

        assertEquals(reloaded.size(), 1);
        assertEquals(reloaded.getFirst().gracePeriod(), Duration.ofSeconds(5));
    }

    // Guards against a process that stops serving because of an incomplete settings file, for example after a partial
    // write.
    @Test
    public void should_keep_the_settings_when_the_file_is_invalid() throws Exception {
        Path file = Files.createTempFile("entry", ".json");
        Files.writeString(file, MINIMAL_SETTINGS);
        List<GatewaySettings> reloaded = new ArrayList<>();
        ByteArrayOutputStream logged = new ByteArrayOutputStream();
        SettingsReloader reloader = createReloader(file, reloaded, logged);

        Files.writeString(file, "{\"process\": ");
        reloader.reloadIfChanged();

        assertEquals(reloaded, List.of());
    }

    private static SettingsReloader createReloader(
            Path file, List<GatewaySettings> reloaded, ByteArrayOutputStream logged)
            throws IOException, AspenmoorException {
        DecisionLog log =
                new DecisionLog(new SystemTimeSource(), "test", new PrintStream(logged, true, StandardCharsets.UTF_8));
        return new SettingsReloader(file, new GatewaySettingsReader().read(file), reloaded::add, log);
    }
}
