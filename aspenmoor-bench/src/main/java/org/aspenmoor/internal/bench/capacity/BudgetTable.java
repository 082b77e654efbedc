package org.aspenmoor.internal.bench.capacity;

import java.util.ArrayList;
import java.util.List;

/** The costs of one role, with their sum held against the budget. */
final class BudgetTable {
    private static final String HEAD = "| part | memory | of a core | traffic | messages | mechanism | standing |";
    private static final String RULE = "| --- | ---: | ---: | ---: | ---: | --- | --- |";
    private static final double MICROSECONDS = 1e6;

    private final List<BudgetLine> lines = new ArrayList<>();

    void add(BudgetLine line) {
        lines.add(line);
    }

    BudgetLine sum() {
        BudgetLine sum = BudgetLine.ofMemory("**sum**", Figure.NONE, "", Standing.MEASURED);
        for (BudgetLine line : lines) {
            sum = sum.plus(line);
        }
        return sum;
    }

    /** Writes the rows and their sum; control is held against the budget of a node. */
    List<String> rows(boolean control) {
        List<String> rows = new ArrayList<>(List.of(HEAD, RULE));
        lines.forEach(line -> rows.add(line.row()));
        BudgetLine sum = sum();
        String verdict = control ? verdict(sum) : "no part of the control budget";
        rows.add(new BudgetLine(
                        "**sum**",
                        sum.memory(),
                        sum.processor(),
                        sum.traffic(),
                        sum.messages(),
                        verdict,
                        Standing.MEASURED)
                .row()
                .replace(" | " + Standing.MEASURED.text() + " |", " | |"));
        return rows;
    }

    private static String verdict(BudgetLine sum) {
        List<String> over = new ArrayList<>();
        if (sum.memory().value() > Aim.CONTROL_MEMORY_BYTES) {
            over.add("memory");
        }
        if (sum.processor().value() > Aim.CONTROL_CORE_SHARE * MICROSECONDS) {
            over.add("processor");
        }
        if (sum.traffic().value() > Aim.CONTROL_BYTES_PER_SECOND) {
            over.add("traffic");
        }
        return over.isEmpty() ? "within 256 MB, 3.2 %, 2,000 B/s" : "🔴 **over budget**: " + String.join(", ", over);
    }
}
