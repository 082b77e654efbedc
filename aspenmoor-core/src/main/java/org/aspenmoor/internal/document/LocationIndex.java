package org.aspenmoor.internal.document;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.finding.SourceLocation;
import org.aspenmoor.internal.json.LocatedValue;

/**
 * Finds where a field of a document stands in the text it was read from.
 *
 * <p>Items of an array are counted among items of their own type, because the reader leaves out items of the wrong
 * type: {@code kinds[1]} is the second kind that was read, and its place still names the item as the text counts it.
 */
public final class LocationIndex {
    private final SourceLocation root;
    private final Map<String, SourceLocation> locations = new HashMap<>();

    public LocationIndex(LocatedValue.ObjectValue object) {
        this.root = object.location();
        addFields("", object);
    }

    /** Says whether the text has a field of this path. */
    public boolean contains(String path) {
        return locations.containsKey(path);
    }

    /** Returns where the field stands, or its nearest enclosing value with the path of the missing field. */
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
            case LocatedValue.TextValue text -> {}
            case LocatedValue.NumberValue number -> {}
            case LocatedValue.BooleanValue truth -> {}
            case LocatedValue.NullValue nothing -> {}
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
