package org.aspenmoor.internal.usage;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/** Converts between {@link UsageRecord} and the content of a lease record. */
final class UsageRecordCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String GENERATION = "generation";
    private static final String LAST_DECIDED = "lastDecided";
    private static final String UNSENT = "unsent";
    private static final String WINDOW = "window";
    private static final String COUNTS = "counts";

    private UsageRecordCodec() {}

    static String serialise(UsageRecord usage) {
        ObjectNode root =
                MAPPER.createObjectNode().put(GENERATION, usage.generation()).put(LAST_DECIDED, usage.lastDecided());
        ArrayNode unsent = root.putArray(UNSENT);
        for (UsageReport report : usage.unsent()) {
            ObjectNode counts = unsent.addObject().put(WINDOW, report.window()).putObject(COUNTS);
            report.counts().forEach(counts::put);
        }
        return root.toString();
    }

    /** Parses a record; empty if there is none or another program has written something else. */
    static Optional<UsageRecord> parse(String content) {
        try {
            JsonNode root = MAPPER.readTree(content);
            if (!root.path(LAST_DECIDED).isIntegralNumber()) {
                return Optional.empty();
            }
            List<UsageReport> unsent = new ArrayList<>();
            for (JsonNode report : root.path(UNSENT)) {
                SortedMap<String, Long> counts = new TreeMap<>();
                report.path(COUNTS)
                        .properties()
                        .forEach(count ->
                                counts.put(count.getKey(), count.getValue().asLong()));
                unsent.add(new UsageReport(report.path(WINDOW).asLong(), counts));
            }
            return Optional.of(new UsageRecord(
                    root.path(GENERATION).asLong(), root.path(LAST_DECIDED).asLong(), unsent));
        } catch (JsonProcessingException malformed) {
            return Optional.empty();
        }
    }
}
