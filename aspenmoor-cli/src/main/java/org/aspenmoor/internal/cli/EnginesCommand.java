package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import joptsimple.OptionParser;
import org.aspenmoor.AspenmoorException;

/** Shows the backend servers as known to one entry. */
final class EnginesCommand implements Command {
    @Override
    public String name() {
        return "engines";
    }

    @Override
    public String argumentSyntax() {
        return "";
    }

    @Override
    public String summary() {
        return "Shows backend servers with their state, role, load and loaded models.";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        Options.declareFilterOptions(parser);
        Options.declareEngineFilterOption(parser);
    }

    @Override
    public ExitCode run(Invocation invocation) throws AspenmoorException {
        JsonNode answer = invocation.client().get("engines" + invocation.filterQuery());
        if (invocation.hasOption(Options.JSON)) {
            invocation.out().println(answer.toPrettyString());
        } else {
            StatusTables.printEngines(invocation.out(), answer.path("engines"));
        }
        return ExitCode.DONE;
    }
}
