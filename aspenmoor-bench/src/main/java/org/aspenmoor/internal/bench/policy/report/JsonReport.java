package org.aspenmoor.internal.bench.policy.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.aspenmoor.AspenmoorException;

/** Writes results as JSON lines, one object for each run. */
public final class JsonReport {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private JsonReport() {}

    /** Writes the results to a file. */
    public static void write(Path file, List<NamedResult> results) throws AspenmoorException {
        StringBuilder lines = new StringBuilder();
        for (NamedResult result : results) {
            lines.append(line(result)).append(System.lineSeparator());
        }
        try {
            Files.writeString(file, lines);
        } catch (IOException exception) {
            throw new AspenmoorException(
                    "Could not write the results: " + exception.getMessage() + ".",
                    file.toString(),
                    "Name a file in an existing directory that is writable.",
                    exception);
        }
    }

    private static ObjectNode line(NamedResult named) {
        ObjectNode line = MAPPER.createObjectNode();
        line.put("house", named.fleet());
        line.put("trace", named.trace());
        line.put("seed", named.seed());
        line.put("policy", named.result().policy());
        line.put("weightedGoodput", named.result().weightedGoodput());
        line.put("offeredWeight", named.result().offeredWeight());
        line.put("requests", named.result().requests());
        line.put("completed", named.result().completed());
        line.put("refused", named.result().refused());
        line.put("late", named.result().late());
        line.put("roleChanges", named.result().roleChanges());
        line.put("engineSecondsAway", named.result().engineSecondsAway());
        line.put("firstTokenP95Seconds", named.result().firstTokenP95Seconds());
        line.put("heaviestInTimeShare", named.result().heaviestInTimeFraction());
        line.put("slowestRefusalShare", named.result().slowestRefusalFraction());
        ObjectNode teams = line.putObject("teamInTimeShares");
        named.result().teamResults().forEach(team -> teams.put(team.team(), team.inTimeFraction()));
        return line;
    }
}
