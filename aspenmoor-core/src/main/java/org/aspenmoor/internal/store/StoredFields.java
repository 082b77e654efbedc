package org.aspenmoor.internal.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Reads the fields of an object that a program wrote into the store; anything unexpected is named with its place. */
public final class StoredFields {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final String place;
    private final JsonNode node;

    private StoredFields(String place, JsonNode node) {
        this.place = place;
        this.node = node;
    }

    /** Reads the root of a stored object. */
    public static StoredFields of(StoredObject object) throws StoreMalformedException {
        String place = object.key().toString();
        try {
            JsonNode node = MAPPER.readTree(object.value());
            if (node == null || !node.isObject()) {
                throw malformed("The stored object is not a JSON object.", place);
            }
            return new StoredFields(place, node);
        } catch (JsonProcessingException broken) {
            throw malformed("The stored object is not valid JSON: " + broken.getOriginalMessage() + ".", place);
        }
    }

    /** Reads a string that must be there. */
    public String text(String name) throws StoreMalformedException {
        JsonNode value = node.path(name);
        if (!value.isTextual()) {
            throw malformed("The field is missing or no text.", placeOf(name));
        }
        return value.textValue();
    }

    /** Reads a string that may be missing. */
    public Optional<String> optionalText(String name) throws StoreMalformedException {
        return node.has(name) ? Optional.of(text(name)) : Optional.empty();
    }

    /** Reads a whole number that must be there and not be negative. */
    public long number(String name) throws StoreMalformedException {
        JsonNode value = node.path(name);
        if (!value.isIntegralNumber() || !value.canConvertToLong() || value.longValue() < 0) {
            throw malformed("The field is missing or no whole number from 0 on.", placeOf(name));
        }
        return value.longValue();
    }

    /** Reads a truth value that must be there. */
    public boolean truth(String name) throws StoreMalformedException {
        JsonNode value = node.path(name);
        if (!value.isBoolean()) {
            throw malformed("The field is missing or neither true nor false.", placeOf(name));
        }
        return value.booleanValue();
    }

    /** Reads one of an enumeration's constants. */
    public <E extends Enum<E>> E constant(String name, Class<E> type) throws StoreMalformedException {
        String text = text(name);
        for (E constant : type.getEnumConstants()) {
            if (constant.name().equals(text)) {
                return constant;
            }
        }
        throw malformed("The value \"" + text + "\" is not known.", placeOf(name));
    }

    /** Reads an object that may be missing. */
    public Optional<StoredFields> optionalObject(String name) throws StoreMalformedException {
        if (!node.has(name)) {
            return Optional.empty();
        }
        return Optional.of(inner(name, node.path(name)));
    }

    /** Reads an array of objects that must be there. */
    public List<StoredFields> objects(String name) throws StoreMalformedException {
        JsonNode array = node.path(name);
        if (!array.isArray()) {
            throw malformed("The field is missing or no array.", placeOf(name));
        }
        List<StoredFields> items = new ArrayList<>();
        for (JsonNode item : array) {
            items.add(inner(name + "[" + items.size() + "]", item));
        }
        return items;
    }

    /** Reads an object whose fields are objects themselves; it must be there. */
    public Map<String, StoredFields> objectsByName(String name) throws StoreMalformedException {
        JsonNode object = node.path(name);
        if (!object.isObject()) {
            throw malformed("The field is missing or no object.", placeOf(name));
        }
        Map<String, StoredFields> fields = new LinkedHashMap<>();
        for (Map.Entry<String, JsonNode> field : object.properties()) {
            fields.put(field.getKey(), inner(name + "." + field.getKey(), field.getValue()));
        }
        return fields;
    }

    /** Makes the error for a field whose value makes no sense. */
    public StoreMalformedException refuse(String name, String problem) {
        return malformed(problem, placeOf(name));
    }

    private StoredFields inner(String name, JsonNode value) throws StoreMalformedException {
        if (!value.isObject()) {
            throw malformed("The value is no object.", placeOf(name));
        }
        return new StoredFields(placeOf(name), value);
    }

    private String placeOf(String name) {
        return place.indexOf('#') < 0 ? place + "#" + name : place + "." + name;
    }

    private static StoreMalformedException malformed(String problem, String place) {
        return new StoreMalformedException(
                problem, place, "Look at the object in the store; the process goes on with what it last understood.");
    }
}
