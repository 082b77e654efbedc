package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.util.List;
import java.util.Optional;

/**
 * Assignment of a new value to one field of a document.
 *
 * @param path path of the field; an array item is selected by the value of its {@code name} field
 * @param value the new value
 */
record FieldAssignment(List<String> path, JsonNode value) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Parses an assignment such as {@code models.scene-drafter.version=4}. */
    static FieldAssignment parse(String text) throws UsageException {
        int separator = text.indexOf('=');
        if (separator <= 0) {
            throw new UsageException("\"" + text + "\" is not of the form FIELD=VALUE.", "document edit");
        }
        List<String> path = List.of(text.substring(0, separator).split("\\."));
        return new FieldAssignment(path, value(text.substring(separator + 1)));
    }

    private static JsonNode value(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException notJson) {
            return TextNode.valueOf(text);
        }
    }

    /** Sets the field in a document. */
    void applyTo(JsonNode document) throws UsageException {
        JsonNode parent = document;
        for (String segment : path.subList(0, path.size() - 1)) {
            parent = child(parent, segment).orElseThrow(() -> missingField(segment));
        }
        String field = path.getLast();
        Optional<JsonNode> current = child(parent, field);
        if (!(parent instanceof ObjectNode object)) {
            throw missingField(field);
        }
        // Versions and names are strings even if they look like numbers.
        boolean keepText = current.filter(JsonNode::isTextual).isPresent() && !value.isTextual();
        object.set(field, keepText ? TextNode.valueOf(value.asText()) : value);
    }

    private static Optional<JsonNode> child(JsonNode parent, String segment) {
        if (!parent.isArray()) {
            return Optional.ofNullable(parent.get(segment));
        }
        for (JsonNode item : parent) {
            if (item.path("name").asText().equals(segment)) {
                return Optional.of(item);
            }
        }
        return Optional.empty();
    }

    private UsageException missingField(String segment) {
        return new UsageException(
                "The document has no \"" + segment + "\" at this path.",
                String.join(".", path),
                "Use the field names that \"aspenmoor document get\" shows, and select array items by their name.");
    }
}
