package org.aspenmoor.internal.standins.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.standins.http.Json;
import org.jboss.logging.Logger;

/** Counts of executions, read from the ledgers of the stand-ins; the ledger of a crashed stand-in is lost. */
final class Ledgers {
    private static final Logger LOG = Logger.getLogger(Ledgers.class);
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final Map<String, Integer> runs = new HashMap<>();
    private final Map<String, Integer> resumedRuns = new HashMap<>();
    private int unreadable;

    /** Reads the ledgers of all given stand-ins. */
    static Ledgers read(HttpClient client, List<URI> standins) throws InterruptedException {
        Ledgers ledgers = new Ledgers();
        for (URI standin : standins) {
            ledgers.readOne(client, standin);
        }
        return ledgers;
    }

    /** Returns the number of times the request ran. */
    int runs(PlannedRequest planned) {
        return runs.getOrDefault(ledgerKey(planned), 0);
    }

    /** Returns the number of runs that resumed the answer after its first token. */
    int resumedRuns(PlannedRequest planned) {
        return resumedRuns.getOrDefault(ledgerKey(planned), 0);
    }

    int unreadable() {
        return unreadable;
    }

    private static String ledgerKey(PlannedRequest planned) {
        return switch (planned) {
            case PlannedRequest.Completion completion ->
                Integer.toHexString(completion.prompt().hashCode());
            case PlannedRequest.Creation creation ->
                Integer.toHexString(creation.body().hashCode());
            case PlannedRequest.Repetition repetition -> ledgerKey(repetition.original());
            case PlannedRequest.StatusRead read -> read.marker();
        };
    }

    private void readOne(HttpClient client, URI standin) throws InterruptedException {
        try {
            HttpRequest request = HttpRequest.newBuilder(standin.resolve("/standin/ledger"))
                    .timeout(TIMEOUT)
                    .build();
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            count(Json.parseObject(response.body()).orElseGet(Json::object));
        } catch (IOException unreachable) {
            unreadable++;
            LOG.debugf("load: cannot read the ledger of %s: %s", standin, unreachable.getMessage());
        }
    }

    private void count(ObjectNode ledger) {
        for (JsonNode run : ledger.path("requests")) {
            String key = run.path("promptHash").asText();
            runs.merge(key, 1, Integer::sum);
            if (run.path("resumedFrom").asInt() > 0) {
                resumedRuns.merge(key, 1, Integer::sum);
            }
        }
        for (JsonNode execution : ledger.path("executions")) {
            runs.merge(execution.path("bodyHash").asText(), 1, Integer::sum);
        }
    }
}
