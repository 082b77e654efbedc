package org.aspenmoor.internal.finding;

/**
 * A location in a text, such as a settings file or a document.
 *
 * @param source the file or object that contains the text
 * @param line the line, counted from 1; 0 if unknown
 * @param column the column, counted from 1; 0 if unknown
 * @param path the path of the field, such as {@code kinds[2].weight}; may be empty
 */
public record SourceLocation(String source, int line, int column, String path) {
    @Override
    public String toString() {
        String position = line > 0 ? source + ":" + line + ":" + column : source;
        return path.isEmpty() ? position : position + " (" + path + ")";
    }
}
