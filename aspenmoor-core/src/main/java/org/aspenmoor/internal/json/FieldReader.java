package org.aspenmoor.internal.json;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.aspenmoor.internal.finding.Findings;
import org.aspenmoor.internal.finding.Place;

/**
 * Reads the fields of one object, collecting a finding for each that is missing, of the wrong type, out of range, or
 * unknown.
 *
 * <p>A getter that meets a mistake adds the finding and returns the fallback, so that reading goes on and every mistake
 * is reported at once.
 */
public final class FieldReader {
    private static final double MILLISECONDS_OF_SECOND = 1000.0;

    /** Stands for a URL that was not given or is malformed; nothing is asked there, since the findings end the start. */
    private static final URI URL_INSTEAD = URI.create("http://127.0.0.1/");

    private final LocatedValue.ObjectValue object;
    private final Findings findings;
    private final Set<String> asked = new HashSet<>();

    public FieldReader(LocatedValue.ObjectValue object, Findings findings) {
        this.object = object;
        this.findings = findings;
    }

    /** Returns where the object stands. */
    public Place place() {
        return object.place();
    }

    /** Returns where a field stands, or where the object does if the field is missing. */
    public Place placeOf(String name) {
        LocatedValue value = object.fields().get(name);
        if (value != null) {
            return value.place();
        }
        Place parent = object.place();
        String path = parent.path().isEmpty() ? name : parent.path() + "." + name;
        return new Place(parent.source(), parent.line(), parent.column(), path);
    }

    /** Reads a string that must be there. */
    public String requiredText(String name) {
        Optional<String> text = optionalText(name);
        if (text.isEmpty() && !object.fields().containsKey(name)) {
            findings.add(placeOf(name), "The field is missing.", "Add \"" + name + "\" with a text.");
        }
        return text.orElse("");
    }

    /** Reads a string that may be missing. */
    public Optional<String> optionalText(String name) {
        return switch (take(name)) {
            case null -> Optional.empty();
            case LocatedValue.TextValue text
            when text.text().isBlank() -> {
                findings.add(text.place(), "The text is empty.", "Write a value or remove the field.");
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
            findings.add(placeOf(name), "The address is no HTTP URL.", "Write it as http://IP:PORT.");
        }
        return URL_INSTEAD;
    }

    /** Reads a whole number within bounds; the fallback stands where the field is missing. */
    public int integer(String name, int least, int most, int fallback) {
        Optional<Double> number = number(name, least, most, true);
        return number.map(Double::intValue).orElse(fallback);
    }

    /** Reads a number within bounds; the fallback stands where the field is missing. */
    public double decimal(String name, double least, double most, double fallback) {
        return number(name, least, most, false).orElse(fallback);
    }

    /** Reads a number of seconds within bounds, fractions allowed. */
    public Duration seconds(String name, double least, double most, Duration fallback) {
        Optional<Double> number = number(name, least, most, false);
        return number.map(seconds -> Duration.ofMillis(Math.round(seconds * MILLISECONDS_OF_SECOND)))
                .orElse(fallback);
    }

    /** Reads a truth value; the fallback stands where the field is missing. */
    public boolean truth(String name, boolean fallback) {
        return switch (take(name)) {
            case null -> fallback;
            case LocatedValue.BooleanValue value -> value.value();
            case LocatedValue other ->
                this.<Boolean>wrongType(other, "true or false").orElse(fallback);
        };
    }

    /** Adds a finding where a field that has no default is missing. */
    public void require(String name, String example) {
        if (!object.fields().containsKey(name)) {
            findings.add(
                    placeOf(name), "The field is missing.", "Add it, for example \"" + name + "\": " + example + ".");
        }
    }

    /** Reads an object that may be missing. */
    public Optional<FieldReader> object(String name) {
        return switch (take(name)) {
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
    public void refuseUnknownFields() {
        object.fields().forEach((name, value) -> {
            if (!asked.contains(name)) {
                findings.add(value.place(), "The field is not known.", "Remove it; known here: " + sortedNames() + ".");
            }
        });
    }

    private String sortedNames() {
        return String.join(", ", asked.stream().sorted().toList());
    }

    private List<LocatedValue> items(String name) {
        return switch (take(name)) {
            case null -> List.of();
            case LocatedValue.ArrayValue array -> array.items();
            case LocatedValue other ->
                this.<List<LocatedValue>>wrongType(other, "an array in brackets")
                        .orElse(List.of());
        };
    }

    private Optional<Double> number(String name, double least, double most, boolean integral) {
        return switch (take(name)) {
            case null -> Optional.empty();
            case LocatedValue.NumberValue value
            when integral && !value.integral() -> wrongType(value, "a whole number");
            case LocatedValue.NumberValue value
            when value.number() < least || value.number() > most -> {
                String remedy = "Write a number from " + shown(least) + " to " + shown(most) + ".";
                findings.add(value.place(), "The number " + shown(value.number()) + " is out of range.", remedy);
                yield Optional.empty();
            }
            case LocatedValue.NumberValue value -> Optional.of(value.number());
            case LocatedValue other -> wrongType(other, "a number");
        };
    }

    private static String shown(double number) {
        return number == Math.rint(number) ? String.valueOf((long) number) : String.valueOf(number);
    }

    private <T> Optional<T> wrongType(LocatedValue value, String expected) {
        findings.add(value.place(), "The value has the wrong type.", "Write " + expected + ".");
        return Optional.empty();
    }

    private LocatedValue take(String name) {
        asked.add(name);
        return object.fields().get(name);
    }
}
