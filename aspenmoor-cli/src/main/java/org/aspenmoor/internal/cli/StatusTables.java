package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;

/** Prints tables of services and backend servers. */
final class StatusTables {
    private StatusTables() {}

    static void printServices(PrintStream out, JsonNode services) {
        Table table = new Table("service", "revision", "kind", "answered", "not run", "unknown", "cancelled");
        for (JsonNode service : services) {
            String name = service.path("team").asText() + "/"
                    + service.path("service").asText();
            String revision = service.path("revision").asText();
            if (service.path("kinds").isEmpty()) {
                table.addRow(name, revision, "-", "-", "-", "-", "-");
            }
            for (JsonNode kind : service.path("kinds")) {
                table.addRow(
                        name,
                        revision,
                        kind.path("kind").asText(),
                        kind.path("answered").asText(),
                        kind.path("notRun").asText(),
                        kind.path("unknown").asText(),
                        kind.path("cancelled").asText());
            }
        }
        table.print(out);
    }

    static void printEngines(PrintStream out, JsonNode engines) {
        Table table = new Table(
                "backend server",
                "service",
                "data centre",
                "state",
                "role",
                "sent",
                "running",
                "prefill",
                "cache",
                "loaded");
        for (JsonNode engine : engines) {
            boolean hasLoadReport = engine.has("running");
            table.addRow(
                    engine.path("name").asText(),
                    engine.path("team").asText() + "/" + engine.path("service").asText(),
                    engine.path("dataCentre").asText(),
                    state(engine),
                    engine.path("role").asText("-"),
                    engine.path("outstanding").asText(),
                    hasLoadReport ? ratio(engine, "running", "mostRunning") : "-",
                    hasLoadReport ? engine.path("queuedPrefillTokens").asText() : "-",
                    hasLoadReport ? ratio(engine, "freeCachePieces", "allCachePieces") : "-",
                    loadedNames(engine));
        }
        table.print(out);
    }

    private static String ratio(JsonNode engine, String numeratorField, String denominatorField) {
        return engine.path(numeratorField).asText() + "/"
                + engine.path(denominatorField).asText();
    }

    private static String state(JsonNode engine) {
        String state = engine.path("state").asText();
        return engine.has("detail") ? state + ": " + engine.get("detail").asText() : state;
    }

    private static String loadedNames(JsonNode engine) {
        StringBuilder names = new StringBuilder();
        for (JsonNode name : engine.path("loaded")) {
            names.append(names.isEmpty() ? "" : " ").append(name.asText());
        }
        return names.isEmpty() ? "-" : names.toString();
    }
}
