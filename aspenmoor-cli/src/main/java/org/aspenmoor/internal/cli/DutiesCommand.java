package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import joptsimple.OptionParser;
import org.aspenmoor.AspenmoorException;

/** Shows which process holds each duty. */
final class DutiesCommand implements Command {
    @Override
    public String name() {
        return "duties";
    }

    @Override
    public String argumentSyntax() {
        return "";
    }

    @Override
    public String summary() {
        return "Shows which process holds each duty, and the term in which it holds it.";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        Options.declareFilterOptions(parser);
    }

    @Override
    public ExitCode run(Invocation invocation) throws AspenmoorException {
        JsonNode answer = invocation.client().get("duties" + invocation.filterQuery());
        if (invocation.hasOption(Options.JSON)) {
            invocation.out().println(answer.toPrettyString());
            return ExitCode.DONE;
        }
        Table table = new Table("duty", "service", "data centre", "holder", "term", "detail");
        for (JsonNode duty : answer.path("duties")) {
            String service = duty.has("service")
                    ? duty.path("team").asText() + "/" + duty.path("service").asText()
                    : "-";
            table.addRow(
                    duty.path("duty").asText(),
                    service,
                    duty.path("dataCentre").asText(),
                    duty.path("holder").asText("(nobody)"),
                    duty.path("term").asText(),
                    duty.path("detail").asText());
        }
        table.print(invocation.out());
        return ExitCode.DONE;
    }
}
