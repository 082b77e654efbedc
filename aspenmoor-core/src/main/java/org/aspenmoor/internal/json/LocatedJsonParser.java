package org.aspenmoor.internal.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.internal.finding.Findings;
import org.aspenmoor.internal.finding.SourceLocation;

/** Parses JSON with comments and trailing commas into values with their locations. */
public final class LocatedJsonParser {
    private static final JsonFactory FACTORY = new JsonFactoryBuilder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .build();

    private final String source;
    private final Findings findings;

    public LocatedJsonParser(String source, Findings findings) {
        this.source = source;
        this.findings = findings;
    }

    /** Parses the text as one object; empty, with a finding, if it is not a JSON object. */
    public Optional<LocatedValue.ObjectValue> parseObject(String text) {
        try (JsonParser parser = FACTORY.createParser(text)) {
            parser.nextToken();
            if (parser.currentToken() != JsonToken.START_OBJECT) {
                findings.add(locationOf(parser, ""), "The text is not a JSON object.", "Start it with '{'.");
                return Optional.empty();
            }
            LocatedValue.ObjectValue value = readObject(parser, "");
            if (parser.nextToken() != null) {
                findings.add(locationOf(parser, ""), "There is text after the object.", "Remove it.");
            }
            return Optional.of(value);
        } catch (JsonProcessingException malformed) {
            JsonLocation jsonLocation = malformed.getLocation();
            SourceLocation location =
                    new SourceLocation(source, jsonLocation.getLineNr(), jsonLocation.getColumnNr(), "");
            findings.add(
                    location,
                    "The text is not valid JSON: " + malformed.getOriginalMessage() + ".",
                    "Correct the syntax.");
            return Optional.empty();
        } catch (IOException impossible) {
            findings.add(new SourceLocation(source, 0, 0, ""), "The text could not be read.", "Try again.");
            return Optional.empty();
        }
    }

    private LocatedValue readValue(JsonParser parser, String path) throws IOException {
        SourceLocation location = locationOf(parser, path);
        return switch (parser.currentToken()) {
            case START_OBJECT -> readObject(parser, path);
            case START_ARRAY -> readArray(parser, path);
            case VALUE_NUMBER_INT -> new LocatedValue.NumberValue(location, parser.getDoubleValue(), true);
            case VALUE_NUMBER_FLOAT -> new LocatedValue.NumberValue(location, parser.getDoubleValue(), false);
            case VALUE_TRUE, VALUE_FALSE -> new LocatedValue.BooleanValue(location, parser.getBooleanValue());
            case VALUE_NULL -> new LocatedValue.NullValue(location);
            default -> new LocatedValue.TextValue(location, parser.getText());
        };
    }

    private LocatedValue.ObjectValue readObject(JsonParser parser, String path) throws IOException {
        SourceLocation location = locationOf(parser, path);
        Map<String, LocatedValue> fields = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            String fieldPath = path.isEmpty() ? name : path + "." + name;
            SourceLocation nameLocation = locationOf(parser, fieldPath);
            parser.nextToken();
            LocatedValue value = readValue(parser, fieldPath);
            if (fields.putIfAbsent(name, value) != null) {
                findings.add(nameLocation, "The field is declared twice.", "Keep one of the two.");
            }
        }
        return new LocatedValue.ObjectValue(location, fields);
    }

    private LocatedValue.ArrayValue readArray(JsonParser parser, String path) throws IOException {
        SourceLocation location = locationOf(parser, path);
        List<LocatedValue> items = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            items.add(readValue(parser, path + "[" + items.size() + "]"));
        }
        return new LocatedValue.ArrayValue(location, items);
    }

    private SourceLocation locationOf(JsonParser parser, String path) {
        JsonLocation jsonLocation = parser.currentTokenLocation();
        return new SourceLocation(source, jsonLocation.getLineNr(), jsonLocation.getColumnNr(), path);
    }
}
