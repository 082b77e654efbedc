package org.aspenmoor.internal.administration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Checks answers against the schemas in openapi.json; supports only the JSON Schema keywords used there. */
final class OpenApiSchemaCheck {
    private static final String REFERENCE = "$ref";

    private final JsonNode description;
    private final List<String> differences = new ArrayList<>();

    OpenApiSchemaCheck(JsonNode description) {
        this.description = description;
    }

    /** Returns a message for each difference between a value and its schema. */
    List<String> differences(JsonNode schema, JsonNode value) {
        differences.clear();
        compare("", schema, value);
        return List.copyOf(differences);
    }

    private void compare(String path, JsonNode schema, JsonNode value) {
        if (schema.has(REFERENCE)) {
            String pointer = schema.get(REFERENCE).asText().substring(1);
            compare(path, description.at(pointer), value);
            return;
        }
        boolean typeHolds = switch (schema.path("type").asText()) {
            case "object" -> value.isObject();
            case "array" -> value.isArray();
            case "string" -> value.isTextual();
            case "integer" -> value.isIntegralNumber();
            case "boolean" -> value.isBoolean();
            default -> false;
        };
        if (!typeHolds) {
            differences.add(path + " is not of type " + schema.path("type").asText());
            return;
        }
        value.forEach(item -> compareItem(path, schema, item));
        if (value.isObject()) {
            compareFields(path, schema, value);
        }
        if (schema.has("enum") && !schema.get("enum").toString().contains(value.toString())) {
            differences.add(path + " is not one of " + schema.get("enum"));
        }
    }

    private void compareItem(String path, JsonNode schema, JsonNode item) {
        if (schema.has("items")) {
            compare(path + "[]", schema.get("items"), item);
        }
    }

    private void compareFields(String path, JsonNode schema, JsonNode value) {
        for (JsonNode required : schema.path("required")) {
            if (!value.has(required.asText())) {
                differences.add(path + "." + required.asText() + " is missing");
            }
        }
        for (Map.Entry<String, JsonNode> field : value.properties()) {
            JsonNode described = schema.path("properties").path(field.getKey());
            if (!described.isMissingNode()) {
                compare(path + "." + field.getKey(), described, field.getValue());
            } else if (!schema.path("additionalProperties").asBoolean()) {
                differences.add(path + "." + field.getKey() + " is not described");
            }
        }
    }
}
