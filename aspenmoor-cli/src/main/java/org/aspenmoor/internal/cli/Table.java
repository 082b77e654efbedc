package org.aspenmoor.internal.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints rows with their columns in line. */
final class Table {
    private static final String GAP = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    Table(String... headings) {
        rows.add(List.of(headings));
    }

    void row(Object... cells) {
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
                        .append(GAP);
            }
            out.println(line.toString().stripTrailing());
        }
    }

    private int width(int column) {
        return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
    }
}
