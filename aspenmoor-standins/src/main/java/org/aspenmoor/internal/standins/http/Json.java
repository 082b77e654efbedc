package org.aspenmoor.internal.standins.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;

/** Parses and creates JSON objects. */
public final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /** Creates an empty object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** Parses a JSON object; empty if the text is not one. */
    public static Optional<ObjectNode> parseObject(String text) {
        try {
            JsonNode node = MAPPER.readTree(text);
            return node instanceof ObjectNode object ? Optional.of(object) : Optional.empty();
        } catch (JsonProcessingException malformed) {
            return Optional.empty();
        }
    }
}
