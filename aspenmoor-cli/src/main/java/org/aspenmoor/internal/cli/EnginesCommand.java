package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import joptsimple.OptionParser;
import org.aspenmoor.AspenmoorException;

/** Shows backend servers as one entry sees them. */
final class EnginesCommand implements Command {
    @Override
    public String name() {
        return "engines";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "Shows backend servers: state, role, load and what they have loaded.";
    }

    @Override
    public void declare(OptionParser parser) {
        Options.declareFilters(parser);
        Options.declareEngineFilter(parser);
    }

    @Override
    public ExitCode run(Invocation invocation) throws AspenmoorException {
        JsonNode answer = invocation.client().get("engines" + invocation.query());
        if (invocation.has(Options.JSON)) {
            invocation.out().println(answer.toPrettyString());
        } else {
            StatusTables.engines(invocation.out(), answer.path("engines"));
        }
        return ExitCode.DONE;
    }
}
