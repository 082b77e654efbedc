package org.aspenmoor.internal.store.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.internal.store.StoreMalformedException;

/**
 * A part of a JSON text. Its members or elements are found without parsing what they contain.
 *
 * <p>A parser refuses a text as a whole if any value in it is nested too deep, is too long a number or is not JSON. A
 * response of the store contains the objects of several writers, and one that cannot be parsed must not take the others
 * with it.
 */
public final class JsonSlice {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String REMEDY = "Check the store's address.";

    private final String location;
    private final String text;
    private final int start;
    private final int end;

    private JsonSlice(String location, String text, int start, int end) {
        this.location = location;
        this.text = text;
        this.start = start;
        this.end = end;
    }

    /** Returns a whole text, which was read at the location. */
    public static JsonSlice of(String location, String text) {
        return new JsonSlice(location, text, 0, text.length());
    }

    /** Returns the text of this part. */
    public String text() {
        return text.substring(start, end);
    }

    /** Parses this part; empty if the parser refuses it. */
    public Optional<JsonNode> parse() {
        try {
            return Optional.of(MAPPER.readTree(text()));
        } catch (JsonProcessingException malformed) {
            return Optional.empty();
        }
    }

    /** Returns the members of this object; the last one counts if a name occurs several times. */
    public JsonMembers members() throws StoreMalformedException {
        Map<String, JsonSlice> members = new HashMap<>();
        int position = skipSpace(expect('{', skipSpace(start)));
        while (at(position) != '}') {
            int nameEnd = valueEnd(position);
            JsonSlice name = new JsonSlice(location, text, position, nameEnd);
            int valueStart = skipSpace(expect(':', skipSpace(nameEnd)));
            int valueEnd = valueEnd(valueStart);
            name.parse().ifPresent(parsed -> members.put(parsed.asText(), slice(valueStart, valueEnd)));
            position = skipSeparator(valueEnd, '}');
        }
        return new JsonMembers(members);
    }

    /** Returns the elements of this array. */
    public List<JsonSlice> elements() throws StoreMalformedException {
        List<JsonSlice> elements = new ArrayList<>();
        int position = skipSpace(expect('[', skipSpace(start)));
        while (at(position) != ']') {
            int valueEnd = valueEnd(position);
            elements.add(slice(position, valueEnd));
            position = skipSeparator(valueEnd, ']');
        }
        return elements;
    }

    private JsonSlice slice(int from, int to) {
        return new JsonSlice(location, text, from, to);
    }

    /** Returns the position after the value that begins at a position. */
    private int valueEnd(int from) throws StoreMalformedException {
        int depth = 0;
        int position = from;
        do {
            char character = at(position);
            if (character == '"') {
                position = stringEnd(position);
                continue;
            }
            if (character == '{' || character == '[') {
                depth++;
            } else if (character == '}' || character == ']') {
                depth--;
            }
            position++;
        } while (depth > 0 || (position < end && continuesLiteral(from, position)));
        if (depth < 0) {
            throw malformed();
        }
        return position;
    }

    /** Returns whether a number or a name such as {@code null} that began before goes on at a position. */
    private boolean continuesLiteral(int from, int position) {
        char first = text.charAt(from);
        char next = text.charAt(position);
        return first != '"'
                && first != '{'
                && first != '['
                && next != ','
                && next != '}'
                && next != ']'
                && next != ':'
                && !Character.isWhitespace(next);
    }

    private int stringEnd(int from) throws StoreMalformedException {
        int position = from + 1;
        while (at(position) != '"') {
            position += at(position) == '\\' ? 2 : 1;
        }
        return position + 1;
    }

    /** Returns the position of the next value, or of the closing character if there is none. */
    private int skipSeparator(int from, char closing) throws StoreMalformedException {
        int position = skipSpace(from);
        return at(position) == closing ? position : skipSpace(expect(',', position));
    }

    private int skipSpace(int from) {
        int position = from;
        while (position < end && Character.isWhitespace(text.charAt(position))) {
            position++;
        }
        return position;
    }

    private int expect(char expected, int position) throws StoreMalformedException {
        if (at(position) != expected) {
            throw malformed();
        }
        return position + 1;
    }

    private char at(int position) throws StoreMalformedException {
        if (position >= end) {
            throw malformed();
        }
        return text.charAt(position);
    }

    private StoreMalformedException malformed() {
        return new StoreMalformedException("The store's response is not valid JSON.", location, REMEDY);
    }
}
