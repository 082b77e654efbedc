package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import org.aspenmoor.AspenmoorException;

/** Tells what happened to a request. */
final class ExplainCommand implements Command {
    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String arguments() {
        return "REQUEST";
    }

    @Override
    public String summary() {
        return "Tells why a request was routed, queued, refused or resumed.";
    }

    @Override
    public ExitCode run(Invocation invocation) throws AspenmoorException {
        String request = invocation.arguments(1).getFirst();
        JsonNode answer = invocation.client().get("explain/" + ServicePaths.encode(request));
        if (invocation.has(Options.JSON)) {
            invocation.out().println(answer.toPrettyString());
        } else {
            answer.path("sentences").forEach(sentence -> invocation.out().println(sentence.asText()));
        }
        return ExitCode.DONE;
    }
}
