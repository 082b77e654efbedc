package org.aspenmoor.internal.json;

import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.finding.Place;

/** A JSON value that knows where it stands. */
public sealed interface LocatedValue {
    /** Returns where the value stands. */
    Place place();

    /**
     * An object; fields keep their order.
     *
     * @param place where it starts
     * @param fields its fields by name
     */
    record ObjectValue(Place place, Map<String, LocatedValue> fields) implements LocatedValue {}

    /**
     * An array.
     *
     * @param place where it starts
     * @param items its items
     */
    record ArrayValue(Place place, List<LocatedValue> items) implements LocatedValue {}

    /**
     * A string.
     *
     * @param place where it stands
     * @param text its content
     */
    record TextValue(Place place, String text) implements LocatedValue {}

    /**
     * A number.
     *
     * @param place where it stands
     * @param number its value
     * @param integral whether it was written without fraction or exponent
     */
    record NumberValue(Place place, double number, boolean integral) implements LocatedValue {}

    /**
     * A truth value.
     *
     * @param place where it stands
     * @param value its value
     */
    record BooleanValue(Place place, boolean value) implements LocatedValue {}

    /**
     * A null.
     *
     * @param place where it stands
     */
    record NullValue(Place place) implements LocatedValue {}
}
