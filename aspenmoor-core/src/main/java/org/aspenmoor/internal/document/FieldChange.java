package org.aspenmoor.internal.document;

/**
 * A field with another value.
 *
 * @param field the field's name as the document writes it
 * @param before its value so far, as a person reads it
 * @param after its value from now on
 */
public record FieldChange(String field, String before, String after) {
    @Override
    public String toString() {
        return field + " " + before + " -> " + after;
    }
}
