package org.aspenmoor.internal.settings;

import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.finding.Findings;
import org.aspenmoor.internal.json.FieldReader;
import org.aspenmoor.internal.json.SettingsFile;
import org.aspenmoor.internal.routing.EngineSpeedReader;

/** Reads the settings of a process and reports all mistakes, with their places, at once. */
public final class SettingsReader {
    private static final int MAX_PORT = 65535;
    private static final int KIBIBYTE = 1024;
    private static final int MEBIBYTE = KIBIBYTE * KIBIBYTE;
    private static final int DEFAULT_HEADER_BYTES = 16 * KIBIBYTE;
    private static final int MAX_WAITING_REQUESTS = 100_000;
    private static final int DEFAULT_WAITING_REQUESTS = 512;
    private static final int MAX_CREDIT = 4096;
    private static final int DEFAULT_CHUNK_CREDIT = 64;
    private static final int DEFAULT_REQUEST_CREDIT = 64;
    private static final double MAX_SECONDS = 3600;
    private static final double MIN_POSITIVE_VALUE = 0.1;
    private static final Duration DEFAULT_LEAVING_BOUND = Duration.ofSeconds(3);
    private static final Duration DEFAULT_STALL_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration DEFAULT_DRAIN_LIMIT = Duration.ofMinutes(10);
    private static final double MAX_STORE_CALLS_PER_SECOND = 2000;
    private static final double DEFAULT_STORE_CALLS_PER_SECOND = 20;
    private static final int TOKEN_HASH_DIGITS = 64;

    private final Findings findings = new Findings();

    /** Reads settings from a file. */
    public DaemonSettings read(Path file) throws AspenmoorException {
        return SettingsFile.read(file, findings, this::readRole);
    }

    /** Reads settings from a string; {@code source} names it in findings. */
    public DaemonSettings read(String source, String text) throws AspenmoorException {
        return SettingsFile.read(source, text, findings, this::readRole);
    }

    private DaemonSettings readRole(FieldReader reader) {
        String role = reader.requiredText("role");
        return switch (role) {
            case "agent" -> readAgent(reader);
            case "entry" -> readEntry(reader);
            default -> {
                findings.add(reader.locationOf("role"), "The role is unknown.", "Write \"entry\" or \"agent\".");
                yield readEntry(reader);
            }
        };
    }

    private EntrySettings readEntry(FieldReader reader) {
        return new EntrySettings(
                readProcess(reader),
                readLimits(reader),
                reader.seconds("leavingBoundSeconds", MIN_POSITIVE_VALUE, MAX_SECONDS, DEFAULT_LEAVING_BOUND),
                reader.seconds("stallTimeoutSeconds", MIN_POSITIVE_VALUE, MAX_SECONDS, DEFAULT_STALL_TIMEOUT),
                EngineSpeedReader.read(reader),
                readOperators(reader));
    }

    private AgentSettings readAgent(FieldReader reader) {
        return new AgentSettings(
                readProcess(reader),
                readBackend(reader),
                reader.integer("requestCredit", 1, MAX_CREDIT, DEFAULT_REQUEST_CREDIT),
                reader.seconds("drainLimitSeconds", 1, MAX_SECONDS, DEFAULT_DRAIN_LIMIT));
    }

    private ProcessSettings readProcess(FieldReader reader) {
        int httpPort = reader.integer("httpPort", 0, MAX_PORT, 0);
        int linkPort = reader.integer("linkPort", 0, MAX_PORT, 0);
        if (httpPort == linkPort && httpPort != 0) {
            findings.add(
                    reader.locationOf("linkPort"),
                    "The port is the same as \"httpPort\".",
                    "Choose another port, or 0 for a free one.");
        }
        return new ProcessSettings(
                reader.requiredText("process"),
                reader.requiredText("dataCentre"),
                reader.optionalText("address").orElse("127.0.0.1"),
                httpPort,
                linkPort,
                reader.requiredHttpUrl("store"),
                reader.decimal(
                        "storeCallsPerSecond",
                        MIN_POSITIVE_VALUE,
                        MAX_STORE_CALLS_PER_SECOND,
                        DEFAULT_STORE_CALLS_PER_SECOND),
                readChoice(reader, "logFormat", LogFormat.values(), LogFormat.TEXT));
    }

    private static CallerLimits readLimits(FieldReader reader) {
        return new CallerLimits(
                reader.integer("longestBodyBytes", KIBIBYTE, 2 * MEBIBYTE, MEBIBYTE),
                reader.integer("longestHeaderBytes", KIBIBYTE, MEBIBYTE, DEFAULT_HEADER_BYTES),
                reader.integer("longestAnswerBytes", KIBIBYTE, 16 * MEBIBYTE, MEBIBYTE),
                reader.integer("mostWaitingRequests", 1, MAX_WAITING_REQUESTS, DEFAULT_WAITING_REQUESTS),
                reader.integer("chunkCredit", 1, MAX_CREDIT, DEFAULT_CHUNK_CREDIT));
    }

    private List<OperatorSettings> readOperators(FieldReader reader) {
        List<OperatorSettings> operators = new ArrayList<>();
        for (FieldReader operator : reader.objects("operators")) {
            String hash = operator.requiredText("tokenHash");
            if (hash.length() != TOKEN_HASH_DIGITS) {
                findings.add(
                        operator.locationOf("tokenHash"),
                        "The token hash has " + hash.length() + " digits.",
                        "Write the SHA-256 of the token as 64 hexadecimal digits.");
            }
            operators.add(new OperatorSettings(operator.requiredText("name"), hash, operator.requiredText("scope")));
            operator.rejectUnknownFields();
        }
        return operators;
    }

    private BackendSettings readBackend(FieldReader reader) {
        Optional<FieldReader> backend = reader.object("backend");
        if (backend.isEmpty()) {
            reader.requirePresent("backend", "{\"name\": \"drafting-1\", ...}");
            return new BackendSettings("", "", "", "", BackendType.ENGINE, URI.create("http://127.0.0.1/"));
        }
        FieldReader fields = backend.get();
        BackendSettings settings = new BackendSettings(
                fields.requiredText("name"),
                fields.requiredText("team"),
                fields.requiredText("service"),
                fields.requiredText("host"),
                readChoice(fields, "type", BackendType.values(), BackendType.ENGINE),
                fields.requiredHttpUrl("url"));
        fields.rejectUnknownFields();
        return settings;
    }

    private <E extends Enum<E>> E readChoice(FieldReader reader, String name, E[] choices, E defaultChoice) {
        Optional<String> text = reader.optionalText(name);
        if (text.isEmpty()) {
            return defaultChoice;
        }
        List<String> allowed = new ArrayList<>();
        for (E choice : choices) {
            String value = settingValue(choice);
            if (value.equals(text.get())) {
                return choice;
            }
            allowed.add(value);
        }
        findings.add(
                reader.locationOf(name), "The value is unknown.", "Write one of " + String.join(", ", allowed) + ".");
        return defaultChoice;
    }

    private static String settingValue(Enum<?> choice) {
        return choice.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
