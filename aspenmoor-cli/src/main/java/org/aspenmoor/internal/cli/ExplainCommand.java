package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import org.aspenmoor.AspenmoorException;

/** Shows how a request was handled. */
final class ExplainCommand implements Command {
    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String argumentSyntax() {
        return "REQUEST";
    }

    @Override
    public String summary() {
        return "Explains why a request was routed, queued, refused or resumed.";
    }

    @Override
    public ExitCode run(Invocation invocation) throws AspenmoorException {
        String request = invocation.requireArguments(1).getFirst();
        JsonNode answer = invocation.client().get("explain/" + ServicePaths.encode(request));
        if (invocation.hasOption(Options.JSON)) {
            invocation.out().println(answer.toPrettyString());
        } else {
            answer.path("sentences").forEach(sentence -> invocation.out().println(sentence.asText()));
        }
        return ExitCode.DONE;
    }
}
