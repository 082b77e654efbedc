package org.aspenmoor.internal.json;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.aspenmoor.internal.finding.Findings;
import org.aspenmoor.internal.finding.SourceLocation;

/**
 * Reads the fields of one JSON object and collects a finding for each field that is missing, of the wrong type, out of
 * range, or unknown.
 *
 * <p>A reading method that encounters a mistake adds a finding and returns the fallback, so that reading continues and
 * all mistakes are reported at once.
 */
public final class FieldReader {
    private static final double MILLIS_PER_SECOND = 1000.0;

    /** Returned instead of a missing or malformed URL. It is never called, because the findings abort the start. */
    private static final URI PLACEHOLDER_URL = URI.create("http://127.0.0.1/");

    private final LocatedValue.ObjectValue object;
    private final Findings findings;
    private final Set<String> knownNames = new HashSet<>();

    public FieldReader(LocatedValue.ObjectValue object, Findings findings) {
        this.object = object;
        this.findings = findings;
    }

    /** Returns the location of the object. */
    public SourceLocation location() {
        return object.location();
    }

    /** Returns the location of a field, or the location of the object if the field is missing. */
    public SourceLocation locationOf(String name) {
        LocatedValue value = object.fields().get(name);
        if (value != null) {
            return value.location();
        }
        SourceLocation parent = object.location();
        String path = parent.path().isEmpty() ? name : parent.path() + "." + name;
        return new SourceLocation(parent.source(), parent.line(), parent.column(), path);
    }

    /** Reads a required string. */
    public String requiredText(String name) {
        Optional<String> text = optionalText(name);
        if (text.isEmpty() && !object.fields().containsKey(name)) {
            findings.add(locationOf(name), "The field is missing.", "Add \"" + name + "\" with a string value.");
        }
        return text.orElse("");
    }

    /** Reads an optional string. */
    public Optional<String> optionalText(String name) {
        return switch (value(name)) {
            case null -> Optional.empty();
            case LocatedValue.TextValue text
            when text.text().isBlank() -> {
                findings.add(text.location(), "The string is empty.", "Set a value or remove the field.");
                yield Optional.empty();
            }
            case LocatedValue.TextValue text -> Optional.of(text.text());
            case LocatedValue other -> wrongType(other, "a string in quotes");
        };
    }

    /** Reads a required HTTP URL. */
    public URI requiredHttpUrl(String name) {
        String text = requiredText(name);
        try {
            URI url = URI.create(text);
            if ("http".equals(url.getScheme()) && url.getHost() != null) {
                return url;
            }
        } catch (IllegalArgumentException malformed) {
            // Reported below, like a URL with another scheme.
        }
        if (!text.isEmpty()) {
            findings.add(locationOf(name), "The value is not an HTTP URL.", "Write it as http://IP:PORT.");
        }
        return PLACEHOLDER_URL;
    }

    /** Reads an integer between {@code min} and {@code max}; returns the fallback if the field is missing. */
    public int integer(String name, int min, int max, int fallback) {
        Optional<Double> number = number(name, min, max, true);
        return number.map(Double::intValue).orElse(fallback);
    }

    /** Reads a number between {@code min} and {@code max}; returns the fallback if the field is missing. */
    public double decimal(String name, double min, double max, double fallback) {
        return number(name, min, max, false).orElse(fallback);
    }

    /** Reads a duration in seconds between {@code min} and {@code max}; returns the fallback if the field is missing. */
    public Duration seconds(String name, double min, double max, Duration fallback) {
        Optional<Double> number = number(name, min, max, false);
        return number.map(seconds -> Duration.ofMillis(Math.round(seconds * MILLIS_PER_SECOND)))
                .orElse(fallback);
    }

    /** Reads a boolean; returns the fallback if the field is missing. */
    public boolean bool(String name, boolean fallback) {
        return switch (value(name)) {
            case null -> fallback;
            case LocatedValue.BooleanValue value -> value.value();
            case LocatedValue other ->
                this.<Boolean>wrongType(other, "true or false").orElse(fallback);
        };
    }

    /** Adds a finding if a field without a default is missing. */
    public void requirePresent(String name, String example) {
        if (!object.fields().containsKey(name)) {
            findings.add(
                    locationOf(name),
                    "The field is missing.",
                    "Add it, for example \"" + name + "\": " + example + ".");
        }
    }

    /** Reads an optional object. */
    public Optional<FieldReader> object(String name) {
        return switch (value(name)) {
            case null -> Optional.empty();
            case LocatedValue.ObjectValue value -> Optional.of(new FieldReader(value, findings));
            case LocatedValue other -> wrongType(other, "an object in braces");
        };
    }

    /** Reads an array of objects; empty if the field is missing. */
    public List<FieldReader> objects(String name) {
        List<FieldReader> readers = new ArrayList<>();
        for (LocatedValue item : items(name)) {
            switch (item) {
                case LocatedValue.ObjectValue value -> readers.add(new FieldReader(value, findings));
                case LocatedValue other -> wrongType(other, "an object in braces");
            }
        }
        return readers;
    }

    /** Reads an array of strings; empty if the field is missing. */
    public List<String> texts(String name) {
        List<String> texts = new ArrayList<>();
        for (LocatedValue item : items(name)) {
            switch (item) {
                case LocatedValue.TextValue value -> texts.add(value.text());
                case LocatedValue other -> wrongType(other, "a string in quotes");
            }
        }
        return texts;
    }

    /** Adds a finding for every field that was not read; call it after all fields have been read. */
    public void rejectUnknownFields() {
        object.fields().forEach((name, value) -> {
            if (!knownNames.contains(name)) {
                findings.add(
                        value.location(), "The field is unknown.", "Remove it; known fields: " + sortedNames() + ".");
            }
        });
    }

    private String sortedNames() {
        return String.join(", ", knownNames.stream().sorted().toList());
    }

    private List<LocatedValue> items(String name) {
        return switch (value(name)) {
            case null -> List.of();
            case LocatedValue.ArrayValue array -> array.items();
            case LocatedValue other ->
                this.<List<LocatedValue>>wrongType(other, "an array in brackets")
                        .orElse(List.of());
        };
    }

    private Optional<Double> number(String name, double min, double max, boolean integral) {
        return switch (value(name)) {
            case null -> Optional.empty();
            case LocatedValue.NumberValue value when integral && !value.integral() -> wrongType(value, "an integer");
            case LocatedValue.NumberValue value
            when value.number() < min || value.number() > max -> {
                String remedy = "Write a number from " + format(min) + " to " + format(max) + ".";
                findings.add(value.location(), "The number " + format(value.number()) + " is out of range.", remedy);
                yield Optional.empty();
            }
            case LocatedValue.NumberValue value -> Optional.of(value.number());
            case LocatedValue other -> wrongType(other, "a number");
        };
    }

    private static String format(double number) {
        return number == Math.rint(number) ? String.valueOf((long) number) : String.valueOf(number);
    }

    private <T> Optional<T> wrongType(LocatedValue value, String expected) {
        findings.add(value.location(), "The value has the wrong type.", "Write " + expected + ".");
        return Optional.empty();
    }

    private LocatedValue value(String name) {
        knownNames.add(name);
        return object.fields().get(name);
    }
}
