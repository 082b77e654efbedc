package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.OptionalLong;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.document.CheckedDocument;
import org.aspenmoor.internal.document.DocumentChecker;
import org.aspenmoor.internal.document.ServiceDocument;
import org.aspenmoor.internal.document.UnknownFleetView;
import org.aspenmoor.internal.finding.FindingsException;

/** Checks a document in a file and, if an entry is given, also checks it against the fleet. */
final class DocumentCheckCommand implements Command {
    @Override
    public String name() {
        return "document check";
    }

    @Override
    public String argumentSyntax() {
        return "FILE";
    }

    @Override
    public String summary() {
        return "Checks a document and reports every mistake; with --entry, also checks it against the fleet.";
    }

    @Override
    public ExitCode run(Invocation invocation) throws AspenmoorException {
        String file = invocation.requireArguments(1).getFirst();
        String text = invocation.readFile(file);
        ServiceDocument document = check(file, text);
        if (invocation.hasEntry()) {
            JsonNode answer =
                    invocation.client().postQuery(ServicePaths.of(document) + "/check", OptionalLong.empty(), text);
            if (answer.path("mistakes").asInt() > 0) {
                throw new FleetFindings(file, answer).toException();
            }
        }
        if (invocation.hasOption(Options.JSON)) {
            ObjectNode result = JsonNodeFactory.instance.objectNode().put("mistakes", 0);
            result.putArray("findings");
            invocation.out().println(result.toPrettyString());
        } else {
            String scope = invocation.hasEntry() ? "" : " in itself; add --entry to check it against the fleet";
            invocation.out().println(file + " has no mistakes" + scope + ".");
        }
        return ExitCode.DONE;
    }

    /**
     * Checks a document without reference to a fleet.
     *
     * @throws FindingsException if the document has mistakes; contains all of them
     */
    static ServiceDocument check(String file, String text) throws FindingsException {
        String source = Path.of(file).getFileName().toString();
        CheckedDocument checked = new DocumentChecker(new UnknownFleetView()).check(source, text);
        return checked.orThrow(file);
    }
}
