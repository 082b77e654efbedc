package org.aspenmoor.internal.standins.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Sums the counts of several processes and collects every violated equation. */
final class AccountSums {
    private final Map<String, Map<String, Long>> sums = new LinkedHashMap<>();
    private final Map<String, Integer> processes = new LinkedHashMap<>();
    private final List<String> violations = new ArrayList<>();

    /** Adds the state dump of one process. */
    void add(JsonNode state) {
        String process = state.path("process").asText();
        String imbalance = state.path("imbalance").asText();
        if (!imbalance.isEmpty()) {
            violations.add(process + ": " + imbalance);
        }
        int found = 0;
        for (AccountEquation equation : AccountEquation.ALL) {
            JsonNode counts = state.path(equation.account());
            if (counts.isMissingNode()) {
                continue;
            }
            found++;
            if (!equation.isComplete(counts)) {
                violations.add(process + ": " + equation.account() + " lack a count: " + counts);
                continue;
            }
            equation.violation(process, counts).ifPresent(violations::add);
            addCounts(equation.account(), counts);
        }
        if (found == 0) {
            violations.add(process + ": its state dump holds no account");
        }
    }

    /** Records a process whose state could not be read. */
    void addUnreadable(String address, String cause) {
        violations.add(address + " cannot be read: " + cause);
    }

    void print(PrintStream output) {
        sums.forEach((account, counts) -> {
            StringBuilder line = new StringBuilder();
            counts.forEach(
                    (name, value) -> line.append(' ').append(name).append(' ').append(value));
            output.printf("  %-12s of %2d processes:%s%n", account, processes.get(account), line);
        });
    }

    List<String> violations() {
        return violations;
    }

    private void addCounts(String account, JsonNode counts) {
        processes.merge(account, 1, Integer::sum);
        Map<String, Long> totals = sums.computeIfAbsent(account, _ -> new LinkedHashMap<>());
        counts.properties()
                .forEach(count -> totals.merge(count.getKey(), count.getValue().asLong(), Long::sum));
    }
}
