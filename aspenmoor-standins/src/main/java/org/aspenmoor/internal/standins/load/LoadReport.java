package org.aspenmoor.internal.standins.load;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.aspenmoor.internal.standins.http.Json;

/** Result of a run of the load tool. */
public final class LoadReport {
    private static final int MAX_EXAMPLES = 5;
    private static final String ROW_FORMAT = "%-16s %6s %8s %7s %7s %8s %7s %5s %6s %7s %9s %14s %14s%n";

    private final String team;
    private final List<KindTotals> kinds;
    private final List<RequestResult> examples;
    private final int ledgersUnreadable;

    LoadReport(String team, List<RequestResult> results, Ledgers ledgers) {
        this.team = team;
        Map<String, List<RequestResult>> byKind = new TreeMap<>();
        for (RequestResult result : results) {
            byKind.computeIfAbsent(result.planned().kind(), _ -> new ArrayList<>())
                    .add(result);
        }
        this.kinds = byKind.entrySet().stream()
                .map(entry -> KindTotals.of(entry.getKey(), entry.getValue(), ledgers))
                .toList();
        this.examples = results.stream()
                .filter(result -> result.end() != RequestEnd.ANSWERED)
                .limit(MAX_EXAMPLES)
                .toList();
        this.ledgersUnreadable = ledgers.unreadable();
    }

    /** Returns whether there was a broken answer, a call executed twice, or a refusal of a request that ran. */
    public boolean faulty() {
        return kinds.stream().anyMatch(KindTotals::faulty);
    }

    /** Returns whether any answer was cut off. */
    public boolean anyCut() {
        return kinds.stream().anyMatch(kind -> kind.cut() > 0);
    }

    /** Prints a table of all kinds and a few examples of requests that were not answered. */
    public void print(PrintStream output) {
        output.printf(
                ROW_FORMAT,
                team,
                "sent",
                "answered",
                "resumed",
                "refused",
                "refusals",
                "unknown",
                "cut",
                "broken",
                "doubled",
                "ran-still",
                "first p50/p99",
                "whole p50/p99");
        for (KindTotals kind : kinds) {
            KindTotals.Latencies latencies = kind.latencies();
            output.printf(
                    ROW_FORMAT,
                    kind.kind(),
                    kind.sent(),
                    kind.answered(),
                    kind.resumed(),
                    kind.refused(),
                    kind.refusals(),
                    kind.unknown(),
                    kind.cut(),
                    kind.broken(),
                    kind.doubled(),
                    kind.refusedButRan(),
                    latencies.firstTokenP50() + "/" + latencies.firstTokenP99() + " ms",
                    latencies.totalP50() + "/" + latencies.totalP99() + " ms");
        }
        for (RequestResult example : examples) {
            output.println("  " + example.planned().marker() + " " + example.end() + ": " + example.detail());
        }
        if (ledgersUnreadable > 0) {
            output.println("  ledgers that could not be read: " + ledgersUnreadable);
        }
    }

    /** Returns the totals of all kinds as JSON. */
    public ObjectNode toJson() {
        ObjectNode root = Json.object();
        root.put("team", team);
        root.put("ledgersUnreadable", ledgersUnreadable);
        ArrayNode list = root.putArray("kinds");
        kinds.forEach(kind -> list.add(kind.toJson()));
        return root;
    }
}
