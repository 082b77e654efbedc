package org.aspenmoor.review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;

/** JSON with the library that the deployed entry contains. */
final class Json {
    static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static JsonNode parse(byte[] text) {
        try {
            return MAPPER.readTree(text);
        } catch (IOException malformed) {
            throw new UncheckedIOException(malformed);
        }
    }
}
