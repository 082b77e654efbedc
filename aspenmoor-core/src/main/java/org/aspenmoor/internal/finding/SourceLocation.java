package org.aspenmoor.internal.finding;

/**
 * Where something stands in a text that a person wrote.
 *
 * @param source the file or object
 * @param line counted from 1; 0 where there is none
 * @param column counted from 1; 0 where there is none
 * @param path the field, such as {@code kinds[2].weight}
 */
public record SourceLocation(String source, int line, int column, String path) {
    @Override
    public String toString() {
        String position = line > 0 ? source + ":" + line + ":" + column : source;
        return path.isEmpty() ? position : position + " (" + path + ")";
    }
}
