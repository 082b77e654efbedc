package org.aspenmoor.internal.document;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.finding.SourceLocation;
import org.aspenmoor.internal.json.LocatedValue;

/**
 * Finds the locations of the fields of a document in the text it was read from.
 *
 * <p>An array item is looked up by its index among the items of the same JSON type, because the reader skips items of the
 * wrong type: {@code kinds[1]} is the second kind that was read. The path in the returned location is the index in the
 * text, which counts all items.
 */
public final class LocationIndex {
    private final SourceLocation root;
    private final Map<String, SourceLocation> locations = new HashMap<>();

    public LocationIndex(LocatedValue.ObjectValue object) {
        this.root = object.location();
        addFields("", object);
    }

    /** Returns whether the text has a field with this path. */
    public boolean contains(String path) {
        return locations.containsKey(path);
    }

    /** Returns the location of a field; if it is missing, the location of the nearest enclosing value with the field's path. */
    public SourceLocation locationOf(String path) {
        SourceLocation found = locations.get(path);
        if (found != null) {
            return found;
        }
        SourceLocation enclosing = enclosingLocation(path);
        return new SourceLocation(enclosing.source(), enclosing.line(), enclosing.column(), path);
    }

    private SourceLocation enclosingLocation(String path) {
        String prefix = path;
        while (true) {
            int end = Math.max(prefix.lastIndexOf('.'), prefix.lastIndexOf('['));
            if (end < 0) {
                return root;
            }
            prefix = prefix.substring(0, end);
            SourceLocation location = locations.get(prefix);
            if (location != null) {
                return location;
            }
        }
    }

    private void addFields(String path, LocatedValue.ObjectValue object) {
        String prefix = path.isEmpty() ? "" : path + ".";
        object.fields().forEach((name, value) -> add(prefix + name, value));
    }

    private void add(String path, LocatedValue value) {
        locations.put(path, value.location());
        switch (value) {
            case LocatedValue.ObjectValue object -> addFields(path, object);
            case LocatedValue.ArrayValue array -> addItems(path, array.items());
            case LocatedValue.TextValue ignoredText -> {}
            case LocatedValue.NumberValue ignoredNumber -> {}
            case LocatedValue.BooleanValue ignoredBoolean -> {}
            case LocatedValue.NullValue ignoredNull -> {}
        }
    }

    private void addItems(String path, List<LocatedValue> items) {
        Map<Class<?>, Integer> counts = new HashMap<>();
        for (LocatedValue item : items) {
            int index = counts.merge(item.getClass(), 1, Integer::sum) - 1;
            add(path + "[" + index + "]", item);
        }
    }
}
