package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.util.List;
import java.util.Optional;

/**
 * One field that gets a new value.
 *
 * @param path the field's path; an item of an array is named by its {@code name}
 * @param value the new value
 */
record FieldAssignment(List<String> path, JsonNode value) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Reads {@code models.scene-drafter.version=4}. */
    static FieldAssignment parse(String text) throws UsageException {
        int sign = text.indexOf('=');
        if (sign <= 0) {
            throw new UsageException("\"" + text + "\" is not FIELD=VALUE.", "document edit");
        }
        List<String> path = List.of(text.substring(0, sign).split("\\."));
        return new FieldAssignment(path, value(text.substring(sign + 1)));
    }

    private static JsonNode value(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException plainText) {
            return TextNode.valueOf(text);
        }
    }

    /** Sets the field in a document. */
    void applyTo(JsonNode document) throws UsageException {
        JsonNode holder = document;
        for (String step : path.subList(0, path.size() - 1)) {
            holder = child(holder, step).orElseThrow(() -> notThere(step));
        }
        String field = path.getLast();
        Optional<JsonNode> present = child(holder, field);
        if (!(holder instanceof ObjectNode object)) {
            throw notThere(field);
        }
        // Versions and names are texts, also where they look like numbers.
        boolean staysText = present.filter(JsonNode::isTextual).isPresent() && !value.isTextual();
        object.set(field, staysText ? TextNode.valueOf(value.asText()) : value);
    }

    private static Optional<JsonNode> child(JsonNode holder, String step) {
        if (!holder.isArray()) {
            return Optional.ofNullable(holder.get(step));
        }
        for (JsonNode item : holder) {
            if (item.path("name").asText().equals(step)) {
                return Optional.of(item);
            }
        }
        return Optional.empty();
    }

    private UsageException notThere(String step) {
        return new UsageException(
                "The document has no \"" + step + "\" there.",
                String.join(".", path),
                "Name fields as \"aspenmoor document get\" shows them, and items of arrays by their name.");
    }
}
