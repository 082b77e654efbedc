package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import joptsimple.OptionParser;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.document.ServiceName;

/** Prints a document as it is stored. */
final class DocumentGetCommand implements Command {
    @Override
    public String name() {
        return "document get";
    }

    @Override
    public String argumentSyntax() {
        return "TEAM/SERVICE";
    }

    @Override
    public String summary() {
        return "Prints a document in a form that can be edited and accepted.";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts(Options.REVISION, "an earlier revision to print; default: the current one")
                .withRequiredArg()
                .ofType(Long.class);
    }

    @Override
    public ExitCode run(Invocation invocation) throws AspenmoorException {
        ServiceName name =
                invocation.parseServiceName(invocation.requireArguments(1).getFirst());
        JsonNode answer = read(invocation, name);
        JsonNode shown = invocation.hasOption(Options.JSON) ? answer : answer.get("document");
        invocation.out().println(shown.toPrettyString());
        return ExitCode.DONE;
    }

    private static JsonNode read(Invocation invocation, ServiceName name) throws AspenmoorException {
        String path = ServicePaths.of(name);
        if (invocation.hasOption(Options.REVISION)) {
            path += "/history/" + invocation.optionNumber(Options.REVISION).getAsLong();
        }
        return invocation.client().get(path);
    }
}
