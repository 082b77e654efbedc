package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import joptsimple.OptionParser;
import org.aspenmoor.AspenmoorException;

/** Shows who holds which duty. */
final class DutiesCommand implements Command {
    @Override
    public String name() {
        return "duties";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "Shows which process holds which duty, and under which term.";
    }

    @Override
    public void declare(OptionParser parser) {
        Options.declareFilters(parser);
    }

    @Override
    public ExitCode run(Invocation invocation) throws AspenmoorException {
        JsonNode answer = invocation.client().get("duties" + invocation.query());
        if (invocation.has(Options.JSON)) {
            invocation.out().println(answer.toPrettyString());
            return ExitCode.DONE;
        }
        Table table = new Table("duty", "service", "data centre", "holder", "term", "detail");
        for (JsonNode duty : answer.path("duties")) {
            String service = duty.has("service")
                    ? duty.path("team").asText() + "/" + duty.path("service").asText()
                    : "-";
            table.row(
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
