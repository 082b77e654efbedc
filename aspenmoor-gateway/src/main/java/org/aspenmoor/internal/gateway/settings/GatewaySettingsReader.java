package org.aspenmoor.internal.gateway.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.finding.Findings;
import org.aspenmoor.internal.json.FieldReader;
import org.aspenmoor.internal.json.SettingsFile;
import org.aspenmoor.internal.routing.EngineSpeedReader;
import org.aspenmoor.internal.serving.PlacementSettings;

/** Reads an entry's settings and reports all mistakes, with their locations, in one exception. */
public final class GatewaySettingsReader {
    private static final int MAX_PORT = 65_535;
    private static final int MEBIBYTE = 1024 * 1024;
    private static final int MAX_BODY_MEBIBYTES = 1024;

    /** One sixth of the memory of the smallest host that entries run on. */
    private static final int DEFAULT_BODY_MEBIBYTES = 48;

    /** The rest of the memory is for the program itself and for buffers that are being filled. */
    private static final double DEFAULT_BUFFERED_FRACTION = 0.6;

    private static final double MIN_BUFFERED_FRACTION = 0.01;

    /** Time within which an unresponsive connection to the store must be detected. */
    private static final int DEFAULT_STORE_TIMEOUT_MILLISECONDS = 2000;

    /** Fraction of that time for which a long poll waits; the rest is for its timeout and the next attempt. */
    private static final double WATCH_POLL_FRACTION = 0.6;

    /** Time for which a server that is leaving still accepts requests. */
    private static final int DEFAULT_LEAVING_MILLISECONDS = 2000;

    /**
     * Fraction of that time for which changes accumulate at the store; the rest covers a late answer and a request in
     * transit.
     */
    private static final double SERVER_CHANGE_PAUSE_FRACTION = 0.35;

    private static final int MAX_MILLISECONDS = 3_600_000;
    private static final int ABSENT = -1;

    private static final int DEFAULT_HOLDER_PAUSE_MILLISECONDS = 3000;
    private static final String USAGE_DUTY = "usage";
    private static final Duration DEFAULT_USAGE_WINDOW = Duration.ofSeconds(5);
    private static final Duration DEFAULT_GRACE_PERIOD = Duration.ofSeconds(8);
    private static final Duration DEFAULT_RETRY_WINDOW = Duration.ofSeconds(10);
    private static final double DEFAULT_RETRY_RATIO = 0.1;
    private static final double MAX_RETRY_SLACK = 1_000_000;
    private static final int DEFAULT_ASSUMED_ENTRIES = 16;
    private static final int MAX_ASSUMED_ENTRIES = 10_000;
    private static final double MAX_SECONDS = 3600;
    private static final double MIN_OWN_PROMPT_FRACTION = 0.1;

    /**
     * An engine that generates answers prefills prompts between its decode steps, at about half of its prefill speed.
     */
    private static final double DEFAULT_OWN_PROMPT_FRACTION = 0.5;

    private final Findings findings = new Findings();

    /** Reads settings from a file. */
    public GatewaySettings read(Path file) throws AspenmoorException {
        return SettingsFile.read(file, findings, this::readAll);
    }

    /** Reads settings from a string; the source is named in error messages. */
    public GatewaySettings read(String source, String content) throws AspenmoorException {
        return SettingsFile.read(source, content, findings, this::readAll);
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
                fractionOf(reader, "silenceMilliseconds", DEFAULT_STORE_TIMEOUT_MILLISECONDS, WATCH_POLL_FRACTION),
                fractionOf(reader, "leavingMilliseconds", DEFAULT_LEAVING_MILLISECONDS, SERVER_CHANGE_PAUSE_FRACTION),
                readStoreBounds(reader),
                reader.seconds("graceSeconds", 1, MAX_SECONDS, DEFAULT_GRACE_PERIOD),
                reader.integer("mostBodyMebibytes", 1, MAX_BODY_MEBIBYTES, DEFAULT_BODY_MEBIBYTES) * MEBIBYTE,
                (long) (Runtime.getRuntime().maxMemory()
                        * reader.decimal("mostBufferedShare", MIN_BUFFERED_FRACTION, 1, DEFAULT_BUFFERED_FRACTION)),
                new PlacementSettings(
                        reader.requiredText("dataCentre"),
                        EngineSpeedReader.read(reader),
                        reader.decimal("ownPromptShare", MIN_OWN_PROMPT_FRACTION, 1, DEFAULT_OWN_PROMPT_FRACTION),
                        reader.decimal("secondsPerMegapair", 0, 1, 0)),
                Duration.ofMillis(reader.integer(
                        "holderPauseMilliseconds", 1, MAX_MILLISECONDS, DEFAULT_HOLDER_PAUSE_MILLISECONDS)),
                reader.object("duties").map(this::readDuties),
                new RetrySettings(
                        reader.decimal("repeatRatio", 0, 1, DEFAULT_RETRY_RATIO),
                        reader.decimal("repeatSlack", 0, MAX_RETRY_SLACK, 0),
                        reader.seconds("repeatWindowSeconds", 1, MAX_SECONDS, DEFAULT_RETRY_WINDOW),
                        reader.integer("assumedEntries", 1, MAX_ASSUMED_ENTRIES, DEFAULT_ASSUMED_ENTRIES)));
    }

    /** Duties with other names are ignored; the platform may know more than an entry performs. */
    private DutySettings readDuties(FieldReader reader) {
        return new DutySettings(
                readAddress(reader, "address"),
                reader.texts("names").contains(USAGE_DUTY),
                reader.seconds("usageWindowSeconds", 1, MAX_SECONDS, DEFAULT_USAGE_WINDOW));
    }

    /** The bound for servers is also that for the configuration unless another is stated. */
    private static StoreBounds readStoreBounds(FieldReader reader) {
        Optional<Duration> servers = optionalMilliseconds(reader, "leavingMilliseconds");
        return new StoreBounds(
                optionalMilliseconds(reader, "configurationMilliseconds").or(() -> servers), servers);
    }

    private static Optional<Duration> optionalMilliseconds(FieldReader reader, String name) {
        int milliseconds = reader.integer(name, 1, MAX_MILLISECONDS, ABSENT);
        return milliseconds == ABSENT ? Optional.empty() : Optional.of(Duration.ofMillis(milliseconds));
    }

    private static Duration fractionOf(FieldReader reader, String name, int defaultMilliseconds, double fraction) {
        return Duration.ofMillis((long) (reader.integer(name, 1, MAX_MILLISECONDS, defaultMilliseconds) * fraction));
    }

    private InetSocketAddress readAddress(FieldReader reader, String name) {
        String text = reader.requiredText(name);
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port >= 0 && port <= MAX_PORT) {
                return new InetSocketAddress(text.substring(0, colon), port);
            }
        } catch (NumberFormatException notANumber) {
            // Reported below, in the same way as a port out of range.
        }
        if (!text.isEmpty()) {
            findings.add(reader.locationOf(name), "The address is not of the form IP:PORT.", "Write it as IP:PORT.");
        }
        return new InetSocketAddress(0);
    }
}
