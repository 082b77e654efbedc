package org.aspenmoor.internal.gateway.settings;

import static org.testng.Assert.assertEquals;
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
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.time.SystemTimeSource;
import org.testng.annotations.Test;

public class GatewaySettingsReaderTest {
    private static final String LEAST = """
            {
              // Settings without a default.
              "process": "entry-1", "dataCentre": "here",
              "callers": "127.0.0.1:8000", "readiness": "127.0.0.1:8001", "administration": "127.0.0.1:8002",
              "peers": "127.0.0.1:8003", "store": "http://127.0.0.1:8004"
            }""";

    @Test
    public void should_need_only_names_and_addresses() throws AspenmoorException {
        GatewaySettings settings = new GatewaySettingsReader().read("entry.json", LEAST);

        assertEquals(settings.process(), "entry-1");
        assertEquals(settings.callers().getPort(), 8000);
        assertEquals(settings.grace(), Duration.ofSeconds(8));
        assertEquals(settings.repeats().window(), Duration.ofSeconds(10));
    }

    @Test
    public void should_report_all_mistakes_with_their_places() {
        String wrong = LEAST.replace("127.0.0.1:8000", "nowhere")
                .replace("http://127.0.0.1:8004", "store")
                .replace("\"entry-1\"", "17, \"graceSecond\": 8");

        AspenmoorException refused =
                expectThrows(AspenmoorException.class, () -> new GatewaySettingsReader().read("entry.json", wrong));

        for (String place : List.of("callers", "store", "process", "graceSecond")) {
            assertTrue(refused.getMessage().contains(place), place + " in " + refused.getMessage());
        }
    }

    @Test
    public void should_take_changed_settings_up_once() throws Exception {
        Path file = Files.createTempFile("entry", ".json");
        Files.writeString(file, LEAST);
        List<GatewaySettings> taken = new ArrayList<>();
        SettingsFollower follower = follower(file, taken, new ByteArrayOutputStream());

        follower.check();
        Files.writeString(file, LEAST.replace("\"here\"", "\"here\", \"graceSeconds\": 5"));
        follower.check();
        follower.check();

        assertEquals(taken.size(), 1);
        assertEquals(taken.getFirst().grace(), Duration.ofSeconds(5));
    }

    // Guards against a process that stops serving because of an incomplete settings file, for example after a partial
    // write.
    @Test
    public void should_keep_the_settings_where_the_file_is_wrong() throws Exception {
        Path file = Files.createTempFile("entry", ".json");
        Files.writeString(file, LEAST);
        List<GatewaySettings> taken = new ArrayList<>();
        ByteArrayOutputStream logged = new ByteArrayOutputStream();
        SettingsFollower follower = follower(file, taken, logged);

        Files.writeString(file, "{\"process\": ");
        follower.check();

        assertEquals(taken, List.of());
    }

    private static SettingsFollower follower(Path file, List<GatewaySettings> taken, ByteArrayOutputStream logged)
            throws IOException, AspenmoorException {
        DecisionLog log =
                new DecisionLog(new SystemTimeSource(), "test", new PrintStream(logged, true, StandardCharsets.UTF_8));
        return new SettingsFollower(file, new GatewaySettingsReader().read(file), taken::add, log);
    }
}
