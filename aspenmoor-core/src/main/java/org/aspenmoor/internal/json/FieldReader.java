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
 * Reads the fields of one object, collecting a finding for each that is missing, of the wrong type, out of range, or
 * unknown.
 *
 * <p>A getter that meets a mistake adds the finding and returns the fallback, so that reading goes on and every mistake
 * is reported at once.
 */
public final class FieldReader {
    private static final double MILLIS_PER_SECOND = 1000.0;

    /** Stands for a URL that was not given or is malformed; nothing is asked there, since the findings end the start. */
    private static final URI PLACEHOLDER_URL = URI.create("http://127.0.0.1/");

    private final LocatedValue.ObjectValue object;
    private final Findings findings;
    private final Set<String> knownNames = new HashSet<>();

    public FieldReader(LocatedValue.ObjectValue object, Findings findings) {
        this.object = object;
        this.findings = findings;
    }

    /** Returns where the object stands. */
    public SourceLocation location() {
        return object.location();
    }

    /** Returns where a field stands, or where the object does if the field is missing. */
    public SourceLocation locationOf(String name) {
        LocatedValue value = object.fields().get(name);
        if (value != null) {
            return value.location();
        }
        SourceLocation parent = object.location();
        String path = parent.path().isEmpty() ? name : parent.path() + "." + name;
        return new SourceLocation(parent.source(), parent.line(), parent.column(), path);
    }

    /** Reads a string that must be there. */
    public String requiredText(String name) {
        Optional<String> text = optionalText(name);
        if (text.isEmpty() && !object.fields().containsKey(name)) {
            findings.add(locationOf(name), "The field is missing.", "Add \"" + name + "\" with a text.");
        }
        return text.orElse("");
    }

    /** Reads a string that may be missing. */
    public Optional<String> optionalText(String name) {
        return switch (value(name)) {
            case null -> Optional.empty();
            case LocatedValue.TextValue text
            when text.text().isBlank() -> {
                findings.add(text.location(), "The text is empty.", "Write a value or remove the field.");
                yield Optional.empty();
            }
            case LocatedValue.TextValue text -> Optional.of(text.text());
            case LocatedValue other -> wrongType(other, "a text in quotes");
        };
    }

    /** Reads an HTTP URL that must be there. */
    public URI requiredHttpUrl(String name) {
        String text = requiredText(name);
        try {
            URI url = URI.create(text);
            if ("http".equals(url.getScheme()) && url.getHost() != null) {
                return url;
            }
        } catch (IllegalArgumentException malformed) {
            // Reported below, like another scheme.
        }
        if (!text.isEmpty()) {
            findings.add(locationOf(name), "The address is no HTTP URL.", "Write it as http://IP:PORT.");
        }
        return PLACEHOLDER_URL;
    }

    /** Reads a whole number within bounds; the fallback stands where the field is missing. */
    public int integer(String name, int min, int max, int fallback) {
        Optional<Double> number = number(name, min, max, true);
        return number.map(Double::intValue).orElse(fallback);
    }

    /** Reads a number within bounds; the fallback stands where the field is missing. */
    public double decimal(String name, double min, double max, double fallback) {
        return number(name, min, max, false).orElse(fallback);
    }

    /** Reads a number of seconds within bounds, fractions allowed. */
    public Duration seconds(String name, double min, double max, Duration fallback) {
        Optional<Double> number = number(name, min, max, false);
        return number.map(seconds -> Duration.ofMillis(Math.round(seconds * MILLIS_PER_SECOND)))
                .orElse(fallback);
    }

    /** Reads a truth value; the fallback stands where the field is missing. */
    public boolean bool(String name, boolean fallback) {
        return switch (value(name)) {
            case null -> fallback;
            case LocatedValue.BooleanValue value -> value.value();
            case LocatedValue other ->
                this.<Boolean>wrongType(other, "true or false").orElse(fallback);
        };
    }

    /** Adds a finding where a field that has no default is missing. */
    public void requirePresent(String name, String example) {
        if (!object.fields().containsKey(name)) {
            findings.add(
                    locationOf(name),
                    "The field is missing.",
                    "Add it, for example \"" + name + "\": " + example + ".");
        }
    }

    /** Reads an object that may be missing. */
    public Optional<FieldReader> object(String name) {
        return switch (value(name)) {
            case null -> Optional.empty();
            case LocatedValue.ObjectValue value -> Optional.of(new FieldReader(value, findings));
            case LocatedValue other -> wrongType(other, "an object in braces");
        };
    }

    /** Reads an array of objects; empty where the field is missing. */
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

    /** Reads an array of strings; empty where the field is missing. */
    public List<String> texts(String name) {
        List<String> texts = new ArrayList<>();
        for (LocatedValue item : items(name)) {
            switch (item) {
                case LocatedValue.TextValue value -> texts.add(value.text());
                case LocatedValue other -> wrongType(other, "a text in quotes");
            }
        }
        return texts;
    }

    /** Adds a finding for every field that nobody asked for; call it last. */
    public void rejectUnknownFields() {
        object.fields().forEach((name, value) -> {
            if (!knownNames.contains(name)) {
                findings.add(
                        value.location(), "The field is not known.", "Remove it; known here: " + sortedNames() + ".");
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
            case LocatedValue.NumberValue value
            when integral && !value.integral() -> wrongType(value, "a whole number");
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
