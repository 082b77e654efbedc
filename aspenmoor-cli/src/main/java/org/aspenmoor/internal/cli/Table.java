package org.aspenmoor.internal.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Text table with left-aligned columns. */
final class Table {
    private static final String COLUMN_SEPARATOR = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    Table(String... headings) {
        rows.add(List.of(headings));
    }

    void addRow(Object... cells) {
        List<String> row = new ArrayList<>();
        for (Object cell : cells) {
            row.add(cell.toString());
        }
        rows.add(row);
    }

    void print(PrintStream out) {
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int column = 0; column < row.size(); column++) {
                String cell = row.get(column);
                line.append(cell)
                        .append(" ".repeat(width(column) - cell.length()))
                        .append(COLUMN_SEPARATOR);
            }
            out.println(line.toString().stripTrailing());
        }
    }

    private int width(int column) {
        return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
    }
}
