package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import joptsimple.OptionParser;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.document.ServiceName;

/** Lists who changed a document, when, and how. */
final class DocumentHistoryCommand implements Command {
    private static final long DEFAULT_LIMIT = 20;

    @Override
    public String name() {
        return "document history";
    }

    @Override
    public String arguments() {
        return "TEAM/SERVICE";
    }

    @Override
    public String summary() {
        return "Lists accepted revisions, newest first: who, when, and what changed.";
    }

    @Override
    public void declare(OptionParser parser) {
        parser.accepts(Options.LIMIT, "at most this many")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(DEFAULT_LIMIT);
    }

    @Override
    public ExitCode run(Invocation invocation) throws AspenmoorException {
        ServiceName name = invocation.service(invocation.arguments(1).getFirst());
        long limit = invocation.number(Options.LIMIT).orElse(DEFAULT_LIMIT);
        JsonNode answer = invocation.client().get(ServicePaths.of(name) + "/history?limit=" + limit);
        if (invocation.has(Options.JSON)) {
            invocation.out().println(answer.toPrettyString());
            return ExitCode.DONE;
        }
        Table table = new Table("revision", "accepted at", "by", "what changed");
        for (JsonNode revision : answer.path("revisions")) {
            List<String> changes = new ArrayList<>();
            revision.path("changes").forEach(change -> changes.add(change.asText()));
            table.row(
                    revision.path("revision").asLong(),
                    toSeconds(revision.path("acceptedAt").asText("(unknown)")),
                    revision.path("acceptedBy").asText("(unknown)"),
                    String.join(" ", changes));
        }
        table.print(invocation.out());
        return ExitCode.DONE;
    }

    /** Leaves out the fractions of a second. */
    private static String toSeconds(String time) {
        return time.replaceAll("\\.\\d+Z$", "Z");
    }
}
