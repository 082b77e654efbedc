package org.aspenmoor.internal.json;

import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.finding.SourceLocation;

/** A JSON value with its location in the text. */
public sealed interface LocatedValue {
    /** Returns the location of the value. */
    SourceLocation location();

    /**
     * An object; fields keep their order.
     *
     * @param location where it starts
     * @param fields its fields by name
     */
    record ObjectValue(SourceLocation location, Map<String, LocatedValue> fields) implements LocatedValue {}

    /**
     * An array.
     *
     * @param location where it starts
     * @param items its items
     */
    record ArrayValue(SourceLocation location, List<LocatedValue> items) implements LocatedValue {}

    /**
     * A string.
     *
     * @param location where it is
     * @param text its content
     */
    record TextValue(SourceLocation location, String text) implements LocatedValue {}

    /**
     * A number.
     *
     * @param location where it is
     * @param number its value
     * @param integral whether it was written without fraction or exponent
     */
    record NumberValue(SourceLocation location, double number, boolean integral) implements LocatedValue {}

    /**
     * A boolean.
     *
     * @param location where it is
     * @param value its value
     */
    record BooleanValue(SourceLocation location, boolean value) implements LocatedValue {}

    /**
     * A null.
     *
     * @param location where it is
     */
    record NullValue(SourceLocation location) implements LocatedValue {}
}
