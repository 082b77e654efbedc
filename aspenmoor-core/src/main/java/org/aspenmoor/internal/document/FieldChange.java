package org.aspenmoor.internal.document;

/**
 * A change of the value of a field.
 *
 * @param field the name of the field in the document
 * @param before the previous value, formatted for display
 * @param after the new value, formatted for display
 */
public record FieldChange(String field, String before, String after) {
    @Override
    public String toString() {
        return field + " " + before + " -> " + after;
    }
}
