package org.aspenmoor.internal.json;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.function.Function;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.finding.Findings;

/**
 * Reads the settings of a program: JSON with comments, in which unknown fields are not allowed. All mistakes are reported
 * at once, with their locations.
 */
public final class SettingsFile {
    private static final String SUBJECT = "The settings";

    private SettingsFile() {}

    /** Reads a file; the function reads the fields and adds any mistakes to the same findings. */
    public static <T> T read(Path file, Findings findings, Function<FieldReader, T> fields) throws AspenmoorException {
        try {
            return read(file.getFileName().toString(), Files.readString(file), findings, fields);
        } catch (IOException unreadable) {
            throw new AspenmoorException(
                    "The settings cannot be read: " + unreadable.getMessage() + ".",
                    file.toString(),
                    "Give the path of a readable file after --settings.",
                    unreadable);
        }
    }

    /** Reads settings from a text; the source names its origin in findings. */
    public static <T> T read(String source, String text, Findings findings, Function<FieldReader, T> fields)
            throws AspenmoorException {
        Optional<LocatedValue.ObjectValue> root = new LocatedJsonParser(source, findings).parseObject(text);
        findings.throwIfAny(SUBJECT);
        FieldReader reader = new FieldReader(root.orElseThrow(), findings);
        T settings = fields.apply(reader);
        reader.rejectUnknownFields();
        findings.throwIfAny(SUBJECT);
        return settings;
    }
}
