package org.aspenmoor.internal.bench.policy.trace;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.bench.policy.fleet.Fleet;
import org.aspenmoor.internal.finding.Findings;
import org.aspenmoor.internal.json.FieldReader;
import org.aspenmoor.internal.json.LocatedJsonParser;

/** Reads a trace file, which has one JSON object per line. */
public final class TraceReader {
    private static final int MAX_TOKENS = 1_000_000;
    private static final double MAX_SECONDS = 1_000_000;

    private final Fleet fleet;
    private final Findings findings = new Findings();

    public TraceReader(Fleet fleet) {
        this.fleet = fleet;
    }

    /** Reads a file. All mistakes in it are reported in one exception. */
    public Trace read(Path file) throws AspenmoorException {
        List<TraceRequest> requests = new ArrayList<>();
        List<TraceIncident> incidents = new ArrayList<>();
        int lineNumber = 0;
        for (String line : readLines(file)) {
            lineNumber++;
            if (!line.isBlank()) {
                readLine(file + " line " + lineNumber, line, requests, incidents);
            }
        }
        findings.throwIfAny(file.toString());
        requests.sort(Comparator.comparingDouble(TraceRequest::arrivalSeconds));
        incidents.sort(Comparator.comparingDouble(TraceIncident::atSeconds));
        return new Trace(file.getFileName().toString(), requests, incidents);
    }

    private static List<String> readLines(Path file) throws AspenmoorException {
        try {
            return Files.readAllLines(file);
        } catch (IOException exception) {
            throw new AspenmoorException(
                    "Could not read the trace file: " + exception.getMessage() + ".",
                    file.toString(),
                    "Check the path, or name a built-in trace.",
                    exception);
        }
    }

    private void readLine(String place, String line, List<TraceRequest> requests, List<TraceIncident> incidents) {
        new LocatedJsonParser(place, findings).parseObject(line).ifPresent(object -> {
            FieldReader reader = new FieldReader(object, findings);
            if (object.fields().containsKey("arrivalSeconds")) {
                requests.add(readRequest(reader));
            } else {
                readIncident(reader, incidents);
            }
            reader.rejectUnknownFields();
        });
    }

    private TraceRequest readRequest(FieldReader reader) {
        reader.requirePresent("promptTokens", "900");
        reader.requirePresent("outputTokens", "80");
        String kind = reader.requiredText("kind");
        boolean known = fleet.kinds().stream()
                .anyMatch(candidate -> candidate.declaration().name().equals(kind));
        if (!known) {
            findings.add(
                    reader.locationOf("kind"),
                    "The fleet has no request kind of this name.",
                    "Use a kind of the fleet file.");
        }
        return new TraceRequest(
                reader.decimal("arrivalSeconds", 0, MAX_SECONDS, 0),
                reader.optionalText("team").orElse("house"),
                kind,
                reader.integer("promptTokens", 1, MAX_TOKENS, 1),
                reader.integer("outputTokens", 1, MAX_TOKENS, 1),
                reader.optionalText("prefix"),
                reader.integer("prefixTokens", 0, MAX_TOKENS, 0));
    }

    private void readIncident(FieldReader reader, List<TraceIncident> incidents) {
        double at = reader.decimal("atSeconds", 0, MAX_SECONDS, 0);
        int last = fleet.engines().size() - 1;
        int withdrawn = reader.integer("withdrawEngine", 0, last, -1);
        int returned = reader.integer("returnEngine", 0, last, -1);
        double lag = reader.decimal("reportLagSeconds", 0, MAX_SECONDS, -1);
        if (withdrawn >= 0) {
            incidents.add(new TraceIncident.Withdrawal(at, withdrawn));
        }
        if (returned >= 0) {
            incidents.add(new TraceIncident.Return(at, returned));
        }
        if (lag >= 0) {
            incidents.add(new TraceIncident.ReportLag(at, lag));
        }
    }
}
