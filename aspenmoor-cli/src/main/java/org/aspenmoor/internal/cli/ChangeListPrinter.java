package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;

/** Prints a list of changes with the effect of each on engines. */
final class ChangeListPrinter {
    private ChangeListPrinter() {}

    static void print(PrintStream out, JsonNode changes) {
        if (changes.isEmpty()) {
            out.println("Nothing changes.");
        }
        for (JsonNode change : changes) {
            out.println("  * " + change.path("change").asText());
            if (change.has("engines")) {
                out.println("      on engines: " + change.get("engines").asText());
            }
        }
    }
}
