package org.aspenmoor.internal.document;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.finding.Place;
import org.aspenmoor.internal.json.LocatedValue;

/**
 * Finds where a field of a document stands in the text it was read from.
 *
 * <p>Items of an array are counted among items of their own type, because the reader leaves out items of the wrong
 * type: {@code kinds[1]} is the second kind that was read, and its place still names the item as the text counts it.
 */
public final class PlaceIndex {
    private final Place root;
    private final Map<String, Place> places = new HashMap<>();

    public PlaceIndex(LocatedValue.ObjectValue object) {
        this.root = object.place();
        addFields("", object);
    }

    /** Says whether the text has a field of this path. */
    public boolean isWritten(String path) {
        return places.containsKey(path);
    }

    /** Returns where the field stands, or its nearest enclosing value with the path of the missing field. */
    public Place placeOf(String path) {
        Place found = places.get(path);
        if (found != null) {
            return found;
        }
        Place enclosing = enclosingPlace(path);
        return new Place(enclosing.source(), enclosing.line(), enclosing.column(), path);
    }

    private Place enclosingPlace(String path) {
        String shorter = path;
        while (true) {
            int end = Math.max(shorter.lastIndexOf('.'), shorter.lastIndexOf('['));
            if (end < 0) {
                return root;
            }
            shorter = shorter.substring(0, end);
            Place place = places.get(shorter);
            if (place != null) {
                return place;
            }
        }
    }

    private void addFields(String path, LocatedValue.ObjectValue object) {
        String prefix = path.isEmpty() ? "" : path + ".";
        object.fields().forEach((name, value) -> add(prefix + name, value));
    }

    private void add(String path, LocatedValue value) {
        places.put(path, value.place());
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
