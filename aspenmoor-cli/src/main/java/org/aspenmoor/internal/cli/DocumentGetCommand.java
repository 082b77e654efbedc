package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import joptsimple.OptionParser;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.document.ServiceName;

/** Prints a document as the store holds it. */
final class DocumentGetCommand implements Command {
    @Override
    public String name() {
        return "document get";
    }

    @Override
    public String arguments() {
        return "TEAM/SERVICE";
    }

    @Override
    public String summary() {
        return "Prints a document, ready to be changed and accepted.";
    }

    @Override
    public void declare(OptionParser parser) {
        parser.accepts(Options.REVISION, "an earlier revision")
                .withRequiredArg()
                .ofType(Long.class);
    }

    @Override
    public ExitCode run(Invocation invocation) throws AspenmoorException {
        ServiceName name = invocation.service(invocation.arguments(1).getFirst());
        JsonNode answer = read(invocation, name);
        JsonNode shown = invocation.has(Options.JSON) ? answer : answer.get("document");
        invocation.out().println(shown.toPrettyString());
        return ExitCode.DONE;
    }

    private static JsonNode read(Invocation invocation, ServiceName name) throws AspenmoorException {
        String path = ServicePaths.of(name);
        if (invocation.has(Options.REVISION)) {
            path += "/history/" + invocation.number(Options.REVISION).getAsLong();
        }
        return invocation.client().get(path);
    }
}
