package org.aspenmoor.internal.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Reads the fields of a stored JSON object; errors name the object and the path of the field. */
public final class StoredFields {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final String place;
    private final JsonNode node;

    private StoredFields(String place, JsonNode node) {
        this.place = place;
        this.node = node;
    }

    /** Returns the root fields of a stored object. */
    public static StoredFields of(StoredObject object) throws StoreMalformedException {
        String place = object.key().toString();
        try {
            JsonNode node = MAPPER.readTree(object.value());
            if (node == null || !node.isObject()) {
                throw malformed("The stored object is not a JSON object.", place);
            }
            return new StoredFields(place, node);
        } catch (JsonProcessingException invalidJson) {
            throw malformed("The stored object is not valid JSON: " + invalidJson.getOriginalMessage() + ".", place);
        }
    }

    /** Reads a required string. */
    public String text(String name) throws StoreMalformedException {
        JsonNode value = node.path(name);
        if (!value.isTextual()) {
            throw malformed("The field is missing or not a string.", placeOf(name));
        }
        return value.textValue();
    }

    /** Reads an optional string. */
    public Optional<String> optionalText(String name) throws StoreMalformedException {
        return node.has(name) ? Optional.of(text(name)) : Optional.empty();
    }

    /** Reads a required integer that is not negative. */
    public long nonNegativeLong(String name) throws StoreMalformedException {
        JsonNode value = node.path(name);
        if (!value.isIntegralNumber() || !value.canConvertToLong() || value.longValue() < 0) {
            throw malformed("The field is missing or not an integer of at least 0.", placeOf(name));
        }
        return value.longValue();
    }

    /** Reads a required boolean. */
    public boolean bool(String name) throws StoreMalformedException {
        JsonNode value = node.path(name);
        if (!value.isBoolean()) {
            throw malformed("The field is missing or not a boolean.", placeOf(name));
        }
        return value.booleanValue();
    }

    /** Reads a required string that is the name of an enum constant. */
    public <E extends Enum<E>> E enumConstant(String name, Class<E> type) throws StoreMalformedException {
        String text = text(name);
        for (E constant : type.getEnumConstants()) {
            if (constant.name().equals(text)) {
                return constant;
            }
        }
        throw malformed("The value \"" + text + "\" is not supported.", placeOf(name));
    }

    /** Reads an optional object. */
    public Optional<StoredFields> optionalObject(String name) throws StoreMalformedException {
        if (!node.has(name)) {
            return Optional.empty();
        }
        return Optional.of(nested(name, node.path(name)));
    }

    /** Reads a required array of objects. */
    public List<StoredFields> objects(String name) throws StoreMalformedException {
        JsonNode array = node.path(name);
        if (!array.isArray()) {
            throw malformed("The field is missing or not an array.", placeOf(name));
        }
        List<StoredFields> items = new ArrayList<>();
        for (JsonNode item : array) {
            items.add(nested(name + "[" + items.size() + "]", item));
        }
        return items;
    }

    /** Reads a required object whose values are objects, keyed by field name. */
    public Map<String, StoredFields> objectsByName(String name) throws StoreMalformedException {
        JsonNode object = node.path(name);
        if (!object.isObject()) {
            throw malformed("The field is missing or not an object.", placeOf(name));
        }
        Map<String, StoredFields> fields = new LinkedHashMap<>();
        for (Map.Entry<String, JsonNode> field : object.properties()) {
            fields.put(field.getKey(), nested(name + "." + field.getKey(), field.getValue()));
        }
        return fields;
    }

    /** Returns the exception for a field with an invalid value. */
    public StoreMalformedException invalid(String name, String problem) {
        return malformed(problem, placeOf(name));
    }

    private StoredFields nested(String name, JsonNode value) throws StoreMalformedException {
        if (!value.isObject()) {
            throw malformed("The value is not an object.", placeOf(name));
        }
        return new StoredFields(placeOf(name), value);
    }

    private String placeOf(String name) {
        return place.indexOf('#') < 0 ? place + "#" + name : place + "." + name;
    }

    private static StoreMalformedException malformed(String problem, String place) {
        return new StoreMalformedException(
                problem, place, "Check the object in the store; the process continues with the last valid value.");
    }
}
