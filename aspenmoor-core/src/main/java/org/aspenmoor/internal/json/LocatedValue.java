package org.aspenmoor.internal.json;

import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.finding.SourceLocation;

/** A JSON value that knows where it stands. */
public sealed interface LocatedValue {
    /** Returns where the value stands. */
    SourceLocation location();

    /**
     * An object; fields keep their order.
     *
     * @param place where it starts
     * @param fields its fields by name
     */
    record ObjectValue(SourceLocation location, Map<String, LocatedValue> fields) implements LocatedValue {}

    /**
     * An array.
     *
     * @param place where it starts
     * @param items its items
     */
    record ArrayValue(SourceLocation location, List<LocatedValue> items) implements LocatedValue {}

    /**
     * A string.
     *
     * @param place where it stands
     * @param text its content
     */
    record TextValue(SourceLocation location, String text) implements LocatedValue {}

    /**
     * A number.
     *
     * @param place where it stands
     * @param number its value
     * @param integral whether it was written without fraction or exponent
     */
    record NumberValue(SourceLocation location, double number, boolean integral) implements LocatedValue {}

    /**
     * A truth value.
     *
     * @param place where it stands
     * @param value its value
     */
    record BooleanValue(SourceLocation location, boolean value) implements LocatedValue {}

    /**
     * A null.
     *
     * @param place where it stands
     */
    record NullValue(SourceLocation location) implements LocatedValue {}
}
