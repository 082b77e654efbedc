package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;

/** Shows changes and what each does to engines. */
final class ChangeList {
    private ChangeList() {}

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
