package org.aspenmoor.internal.gateway.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.finding.Findings;
import org.aspenmoor.internal.json.FieldReader;
import org.aspenmoor.internal.json.SettingsFile;
import org.aspenmoor.internal.routing.EngineSpeedReader;
import org.aspenmoor.internal.serving.PlacementSettings;

/** Reads an entry's settings and reports all mistakes with their places at once. */
public final class GatewaySettingsReader {
    private static final int HIGHEST_PORT = 65_535;
    private static final int MEBIBYTE = 1024 * 1024;
    private static final int MOST_BODY_MEBIBYTES = 1024;

    /** A sixth of the memory of the smallest host that entries run on. */
    private static final int USUAL_BODY_MEBIBYTES = 48;

    /** Within this time a connection to the store that has gone silent must be noticed. */
    private static final int USUAL_SILENCE_MILLISECONDS = 2000;

    /** Part of that time for which a call for changes waits; the rest is for giving it up and asking again. */
    private static final double WATCH_SHARE = 0.6;

    /** For this time a leaving server still takes requests. */
    private static final int USUAL_LEAVING_MILLISECONDS = 2000;

    /** Part of that time for which changes gather at the store; a late answer and a request under way fit into the rest. */
    private static final double SERVER_PAUSE_SHARE = 0.35;

    private static final int MOST_MILLISECONDS = 3_600_000;

    private static final Duration USUAL_GRACE = Duration.ofSeconds(8);
    private static final Duration USUAL_REPEAT_WINDOW = Duration.ofSeconds(10);
    private static final double USUAL_REPEAT_RATIO = 0.1;
    private static final double MOST_REPEAT_SLACK = 1_000_000;
    private static final int USUAL_ENTRIES = 16;
    private static final int MOST_ENTRIES = 10_000;
    private static final double MOST_SECONDS = 3600;
    private static final double LEAST_SECONDS = 0.1;

    /** An engine that generates answers computes prompts between its decode steps, at about half its speed. */
    private static final double USUAL_OWN_PROMPT_SHARE = 0.5;

    private final Findings findings = new Findings();

    /** Reads settings from a file. */
    public GatewaySettings read(Path file) throws AspenmoorException {
        return SettingsFile.read(file, findings, this::readAll);
    }

    /** Reads settings from a text. */
    public GatewaySettings read(String source, String text) throws AspenmoorException {
        return SettingsFile.read(source, text, findings, this::readAll);
    }

    private GatewaySettings readAll(FieldReader reader) {
        return new GatewaySettings(
                reader.requiredText("process"),
                readAddress(reader, "callers"),
                readAddress(reader, "readiness"),
                reader.optionalText("readinessPath").orElse("/ready"),
                readAddress(reader, "administration"),
                readAddress(reader, "peers"),
                reader.requiredHttpUrl("store"),
                share(reader, "silenceMilliseconds", USUAL_SILENCE_MILLISECONDS, WATCH_SHARE),
                share(reader, "leavingMilliseconds", USUAL_LEAVING_MILLISECONDS, SERVER_PAUSE_SHARE),
                reader.seconds("graceSeconds", 1, MOST_SECONDS, USUAL_GRACE),
                reader.integer("mostBodyMebibytes", 1, MOST_BODY_MEBIBYTES, USUAL_BODY_MEBIBYTES) * MEBIBYTE,
                new PlacementSettings(
                        reader.requiredText("dataCentre"),
                        EngineSpeedReader.read(reader),
                        reader.decimal("ownPromptShare", LEAST_SECONDS, 1, USUAL_OWN_PROMPT_SHARE),
                        reader.decimal("secondsPerMegapair", 0, 1, 0)),
                new RepeatSettings(
                        reader.decimal("repeatRatio", 0, 1, USUAL_REPEAT_RATIO),
                        reader.decimal("repeatSlack", 0, MOST_REPEAT_SLACK, 0),
                        reader.seconds("repeatWindowSeconds", 1, MOST_SECONDS, USUAL_REPEAT_WINDOW),
                        reader.integer("assumedEntries", 1, MOST_ENTRIES, USUAL_ENTRIES)));
    }

    private static Duration share(FieldReader reader, String name, int usual, double share) {
        return Duration.ofMillis((long) (reader.integer(name, 1, MOST_MILLISECONDS, usual) * share));
    }

    private InetSocketAddress readAddress(FieldReader reader, String name) {
        String text = reader.requiredText(name);
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port >= 0 && port <= HIGHEST_PORT) {
                return new InetSocketAddress(text.substring(0, colon), port);
            }
        } catch (NumberFormatException notANumber) {
            // Reported below, like a port out of range.
        }
        if (!text.isEmpty()) {
            findings.add(reader.locationOf(name), "The address is malformed.", "Write it as IP:PORT.");
        }
        return new InetSocketAddress(0);
    }
}
