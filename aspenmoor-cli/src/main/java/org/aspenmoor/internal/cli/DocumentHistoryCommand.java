package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import joptsimple.OptionParser;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.document.ServiceName;

/** Lists the accepted revisions of a document. */
final class DocumentHistoryCommand implements Command {
    private static final long DEFAULT_LIMIT = 20;

    @Override
    public String name() {
        return "document history";
    }

    @Override
    public String argumentSyntax() {
        return "TEAM/SERVICE";
    }

    @Override
    public String summary() {
        return "Lists accepted revisions, newest first: who, when, and what changed.";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts(Options.LIMIT, "maximum number of revisions to list")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(DEFAULT_LIMIT);
    }

    @Override
    public ExitCode run(Invocation invocation) throws AspenmoorException {
        ServiceName name =
                invocation.parseServiceName(invocation.requireArguments(1).getFirst());
        long limit = invocation.optionNumber(Options.LIMIT).orElse(DEFAULT_LIMIT);
        JsonNode answer = invocation.client().get(ServicePaths.of(name) + "/history?limit=" + limit);
        if (invocation.hasOption(Options.JSON)) {
            invocation.out().println(answer.toPrettyString());
            return ExitCode.DONE;
        }
        Table table = new Table("revision", "accepted at", "by", "what changed");
        for (JsonNode revision : answer.path("revisions")) {
            List<String> changes = new ArrayList<>();
            revision.path("changes").forEach(change -> changes.add(change.asText()));
            table.addRow(
                    revision.path("revision").asLong(),
                    withoutFraction(revision.path("acceptedAt").asText("(unknown)")),
                    revision.path("acceptedBy").asText("(unknown)"),
                    String.join(" ", changes));
        }
        table.print(invocation.out());
        return ExitCode.DONE;
    }

    /** Removes the fraction of a second from an ISO 8601 time in UTC. */
    private static String withoutFraction(String time) {
        return time.replaceAll("\\.\\d+Z$", "Z");
    }
}
